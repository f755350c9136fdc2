package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

func TestMain(m *testing.M) {
	if os.Getenv("GLENCART_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A node without a configuration ends with one line and a non-zero code.
func TestBadStartIsOneLine(t *testing.T) {
	bad := t.TempDir() + "/config.json"
	if err := os.WriteFile(bad, []byte(`{"listen":"127.0.0.1:0"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", "/nonexistent/config.json", bad} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%q: %v", path, err)
		}
		if strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "glencart: ") {
			t.Errorf("%q: printed %q", path, out)
		}
	}
}
