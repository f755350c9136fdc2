package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Line is one line of a plot.
type Line struct {
	Name string
	X, Y []float64
}

var colors = []color.RGBA{{0x1b, 0x6c, 0xa8, 255}, {0xd9, 0x5f, 0x02, 255}, {0x1b, 0x9e, 0x77, 255}, {0x75, 0x70, 0xb3, 255}, {0xe7, 0x29, 0x8a, 255},
	{0x66, 0xa6, 0x1e, 255}, {0xe6, 0xab, 0x02, 255}, {0xa6, 0x76, 0x1d, 255}, {0x66, 0x66, 0x66, 255}}

// Plot draws lines as SVG. marks are drawn as upright lines; top bounds y where it is above 0.
func Plot(title, x, y string, lines []Line, marks []float64, top float64) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = top == 0 || top > 2, true // parts lie near the top
	for _, m := range marks {
		l, err := plotter.NewLine(plotter.XYs{{X: m, Y: 0}, {X: m, Y: max(top, most(lines))}})
		if err != nil {
			return "", err
		}
		l.Color, l.Dashes = color.Gray{0xb0}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(l)
	}
	for i, ln := range lines {
		xy := make(plotter.XYs, 0, len(ln.X))
		for k := range ln.X {
			v := ln.Y[k]
			if top > 0 {
				v = min(v, top)
			}
			xy = append(xy, plotter.XY{X: ln.X[k], Y: v})
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return "", fmt.Errorf("%s: %s: %w", title, ln.Name, err)
		}
		l.Color, l.Width = colors[i%len(colors)], vg.Points(1.5)
		if i >= len(colors) {
			l.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(l)
		p.Legend.Add(ln.Name, l)
	}
	p.Y.Min = 0
	if top > 0 {
		p.Y.Max = top
	}
	c := vgsvg.New(7*vg.Inch, 3.4*vg.Inch)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	return text[strings.Index(text, "<svg"):], nil
}

func most(lines []Line) (m float64) {
	for _, l := range lines {
		if len(l.Y) > 0 {
			m = max(m, slices.Max(l.Y))
		}
	}
	return m
}

// HTML writes a report that stands by itself: for each scenario the table of policies, and plots of one seed's run.
func HTML(w io.Writer, scenarios []*Scenario, rows []Row, results []*Result) error {
	type section struct {
		*Scenario
		Rows  []Row
		Plots []template.HTML
		Marks []Mark
	}
	var sections []section
	for _, s := range scenarios {
		sec := section{Scenario: s}
		for _, r := range rows {
			if r.Scenario == s.Name {
				sec.Rows = append(sec.Rows, r)
			}
		}
		var inAim, attempts, boxes []Line
		var marks []float64
		for _, r := range results {
			if r.Scenario != s.Name || r.Seed != 1 {
				continue
			}
			var x, y, z []float64
			for i, sec := range r.Series {
				if sec.Asked == 0 {
					continue
				}
				x = append(x, float64(i))
				y = append(y, float64(sec.InAim)/float64(sec.Asked))
				z = append(z, float64(sec.Attempts)/float64(sec.Asked))
			}
			inAim, attempts = append(inAim, Line{r.Policy, x, y}), append(attempts, Line{r.Policy, x, z})
			var bx, by []float64
			for i, b := range r.Boxes {
				bx, by = append(bx, float64(i)), append(by, b.Worked)
			}
			boxes = append(boxes, Line{r.Policy, bx, by})
			if marks == nil {
				for _, m := range r.Marks {
					marks = append(marks, m.At)
				}
				sec.Marks = r.Marks
			}
		}
		for _, p := range []struct {
			title, x, y string
			lines       []Line
			marks       []float64
			top         float64
		}{{"Served within the aim, of what is asked", "s", "part", inAim, marks, 1.1}, {"Attempts at boxes for each request", "s", "attempts", attempts, marks, 0},
			{"Work done by each box", "box", "s", boxes, nil, 0}} {
			svg, err := Plot(p.title, p.x, p.y, p.lines, p.marks, p.top)
			if err != nil {
				return err
			}
			sec.Plots = append(sec.Plots, template.HTML(svg))
		}
		sections = append(sections, sec)
	}
	return page.Execute(w, sections)
}

var page = template.Must(template.New("").Funcs(template.FuncMap{
	"pct":  func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"f":    func(x float64) string { return fmt.Sprintf("%.2f", x) },
	"less": func(r Row) string { return fmt.Sprintf("%+.3f ± %.3f", r.Less, r.Half) },
	"sign": func(r Row) string { return [3]string{"worse", "", "better"}[r.Sign()+1] },
}).Parse(`<!doctype html><meta charset="utf-8"><title>glencart lab</title>
<style>body{font:15px/1.5 sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem}table{border-collapse:collapse}td,th{padding:.2rem .7rem;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}.worse{color:#a33}.better{color:#284}.broken{background:#fdd}svg{max-width:100%;height:auto}</style>
<h1>glencart lab</h1>
<p>Worth: points of what was served within its aim, late answers at 0.3, of all points asked for. The difference is to the first policy, paired by seed, with its 95% interval. Plots show seed 1; dashed lines are the scenario's events.</p>
{{range .}}<h2>{{.Name}}</h2><p>{{.Question}}</p>
<table><tr><th>policy<th>worth<th>difference<th>within aim<th>p50 ms<th>p99 ms<th>p99.9 ms<th>attempts<th>probes<th>twice<th>pushed over<th>rules broken</tr>
{{range .Rows}}<tr><td>{{.Policy}}<td>{{printf "%.3f" .Worth}}<td class="{{sign .}}">{{less .}}<td>{{pct .InAim}}<td>{{f .P50}}<td>{{f .P99}}<td>{{f .P999}}<td>{{f .Tries}}<td>{{f .Probes}}<td>{{.Twice}}<td>{{.Fell}}<td{{if .Broken}} class="broken"{{end}}>{{.Broken}}</tr>
{{end}}</table>
{{range .Plots}}{{.}}
{{end}}{{if .Marks}}<p>Events: {{range .Marks}}{{printf "%.0f s" .At}} {{.What}}; {{end}}</p>{{end}}
{{end}}`))
