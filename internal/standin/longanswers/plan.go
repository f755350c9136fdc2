package longanswers

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Framing is how an answer shows its end.
type Framing string

// Framings.
const (
	ByLength Framing = "length"
	Chunked  Framing = "chunked"
	ByClose  Framing = "close"
)

// NamePlace is where an answer contains the id of its request.
type NamePlace string

// Places of the name.
const (
	NoName       NamePlace = "none"
	NameInHead   NamePlace = "head"
	NameFirst    NamePlace = "first"   // in the first bytes of the body
	NameLast     NamePlace = "last"    // in its last bytes
	NameOfOthers NamePlace = "another" // the first bytes have the id of a request that this connection has never carried
)

// Plan is how a backend answers one request. It stands in the target of the request.
type Plan struct {
	Status     int
	Framing    Framing
	Name       NamePlace
	Size       int           // of the body
	HeadAfter  time.Duration // between the request and the head
	BodyAfter  time.Duration // between the head and the first byte of the body
	Parts      int           // in which the body is written
	Pause      time.Duration // between two parts
	NoiseBytes int           // written right behind the answer
}

// Bounds of the plans that Draw returns.
const (
	minLongSize, maxLongSize = 60 << 10, 4 << 20
	minHeadAfter             = time.Millisecond
	maxHeadAfter             = 300 * time.Millisecond
	maxParts                 = 4
	maxPause                 = 300 * time.Millisecond
	maxNoiseBytes            = 40
)

// Draw returns a random plan of a long answer.
func Draw(rng *rand.Rand) Plan {
	ratio := float64(maxLongSize) / minLongSize
	plan := Plan{
		Status:    200,
		Framing:   [...]Framing{ByLength, ByLength, Chunked, ByClose}[rng.IntN(4)],
		Name:      [...]NamePlace{NoName, NameInHead, NameFirst, NameLast, NameOfOthers}[rng.IntN(5)],
		Size:      int(minLongSize * math.Pow(ratio, rng.Float64()*rng.Float64())),
		HeadAfter: minHeadAfter + time.Duration(float64(maxHeadAfter-minHeadAfter)*rng.Float64()*rng.Float64()),
		Parts:     1 + rng.IntN(maxParts),
		Pause:     time.Duration(rng.Int64N(int64(maxPause))),
	}
	if rng.IntN(3) == 0 {
		plan.BodyAfter = time.Duration(rng.Int64N(int64(maxPause / 2)))
	}
	if plan.Framing != ByClose && rng.IntN(4) == 0 { // what follows the body of an answer without a length is a part of it
		plan.NoiseBytes = 1 + rng.IntN(maxNoiseBytes)
	}
	return plan
}

// DrawShort returns a random plan of a short answer that names no request: one of a HEAD, an answer without content, an error page or a
// short body.
func DrawShort(rng *rand.Rand) Plan {
	plan := Plan{
		Status:    [...]int{200, 200, 200, 500}[rng.IntN(4)],
		Framing:   ByLength,
		Name:      NoName,
		Size:      rng.IntN(200),
		HeadAfter: minHeadAfter + time.Duration(rng.Int64N(int64(maxHeadAfter/2))),
		Parts:     1,
	}
	return plan
}

// Target returns the request target that contains the plan.
func (p Plan) Target() string {
	return "/api/planned?" + url.Values{
		"status": {strconv.Itoa(p.Status)}, "framing": {string(p.Framing)}, "name": {string(p.Name)}, "size": {strconv.Itoa(p.Size)},
		"head": {p.HeadAfter.String()}, "body": {p.BodyAfter.String()}, "parts": {strconv.Itoa(p.Parts)}, "pause": {p.Pause.String()},
		"noise": {strconv.Itoa(p.NoiseBytes)},
	}.Encode()
}

// ParsePlan returns the plan of a query, which Target has made.
func ParsePlan(query url.Values) Plan {
	number := func(name string) int {
		n, _ := strconv.Atoi(query.Get(name))
		return n
	}
	duration := func(name string) time.Duration {
		d, _ := time.ParseDuration(query.Get(name))
		return d
	}
	return Plan{Status: number("status"), Framing: Framing(query.Get("framing")), Name: NamePlace(query.Get("name")), Size: number("size"),
		HeadAfter: duration("head"), BodyAfter: duration("body"), Parts: max(1, number("parts")), Pause: duration("pause"),
		NoiseBytes: number("noise")}
}

// String describes the plan in a line.
func (p Plan) String() string {
	return fmt.Sprintf("%d, %s, name %s, %d bytes, head after %v, body after %v, %d parts %v apart, %d bytes of noise behind",
		p.Status, p.Framing, p.Name, p.Size, p.HeadAfter, p.BodyAfter, p.Parts, p.Pause, p.NoiseBytes)
}

// BodyTime returns how long after its head the last byte of the answer is written.
func (p Plan) BodyTime() time.Duration { return p.BodyAfter + time.Duration(p.Parts-1)*p.Pause }

// Body returns the body of the answer to the request with this id.
func (p Plan) Body(id string) string {
	name := ""
	switch p.Name {
	case NameFirst, NameLast:
		name = "id: " + id + "\n"
	case NameOfOthers:
		name = "id: another-request-0000\n"
	}
	filling := filler(max(0, p.Size-len(name)))
	if p.Name == NameLast {
		return filling + name
	}
	return name + filling
}

// filler returns n bytes in which a gap or a repetition shows.
func filler(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%07x\n", i)
	}
	return b.String()[:n]
}
