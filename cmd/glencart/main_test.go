package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"glencart/internal/standin/roles"
)

func TestMain(m *testing.M) {
	if os.Getenv("GLENCART_TEST_RUN") != "" {
		go endWithParent(os.Getppid())
		main()
		os.Exit(0)
	}
	if setup := os.Getenv(agentEnv); setup != "" {
		runAgents(setup)
		os.Exit(0)
	}
	roles.RunIfAsked()
	os.Exit(m.Run())
}

// endWithParent ends this process soon after its parent. A node that outlives a killed test calls ports that other tests have by then.
func endWithParent(parent int) {
	for os.Getppid() == parent {
		time.Sleep(time.Second)
	}
	os.Exit(1)
}

// A node that can't read its configuration prints one line and exits with code 1.
func TestStartFailurePrintsOneLine(t *testing.T) {
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

// On SIGHUP the node reloads its configuration and uses the new discovery address. A file that can't be read
// changes nothing. SIGTERM still ends the node in order, even when its log has no reader any more.
func TestSIGHUPReloads(t *testing.T) {
	registry := func() (string, <-chan struct{}) {
		called := make(chan struct{}, 64)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case called <- struct{}{}:
			default:
			}
			if r.URL.RawQuery != "" {
				select {
				case <-r.Context().Done():
				case <-time.After(500 * time.Millisecond):
				}
			}
			io.WriteString(w, `{"revision":1,"complete":true,"members":[]}`)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://"), called
	}
	path := t.TempDir() + "/config.json"
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"settings":{"classes":[{"name":"read"}]}}`, discovery)
	}
	first, calledFirst := registry()
	second, calledSecond := registry()
	write(config(first))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 256)
	go func() {
		for s := bufio.NewScanner(log); s.Scan(); {
			lines <- s.Text()
		}
		close(lines)
	}()
	defer cmd.Process.Kill()
	const patience = 20 * time.Second
	await := func(what string, c <-chan struct{}) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(patience):
			t.Fatalf("timed out waiting for %s", what)
		}
	}
	awaitLine := func(part string) {
		t.Helper()
		for end := time.After(patience); ; {
			select {
			case line, ok := <-lines:
				if !ok {
					t.Fatalf("the node ended without logging %q", part)
				}
				if strings.Contains(line, part) {
					return
				}
			case <-end:
				t.Fatalf("timed out waiting for the log line %q", part)
			}
		}
	}
	await("a call to the first discovery", calledFirst)
	write(`{"name":`)
	cmd.Process.Signal(syscall.SIGHUP)
	awaitLine("not reloaded")
	write(config(second))
	cmd.Process.Signal(syscall.SIGHUP)
	await("a call to the second discovery", calledSecond)
	// The log has no reader any more. The node keeps serving and still ends in order.
	log.Close()
	for range lines {
	}
	write(config(first))
	cmd.Process.Signal(syscall.SIGHUP)
	for len(calledFirst) > 0 {
		<-calledFirst
	}
	await("another call to the first discovery", calledFirst)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM the node ended with: %v", err)
	}
}

// A process that gets SIGTERM while it still opens its sockets has no requests to answer. It must end at once
// and without an error.
func TestSIGTERMDuringStartEndsProcess(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	path := t.TempDir() + "/config.json"
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":"127.0.0.1:1","settings":{"classes":[{"name":"read"}]}}`, occupied.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "GLENCART_TEST_RUN=1", "BALANCER_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	logged, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	lines := bufio.NewScanner(logged)
	for lines.Scan() && !strings.Contains(lines.Text(), "msg=bounds") {
	}
	terminatedAt := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	err = cmd.Wait()
	if took := time.Since(terminatedAt); err != nil || took > time.Second {
		t.Errorf("the process ended %v after SIGTERM with error %v", took, err)
	}
}
