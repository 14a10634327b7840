package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runMainVariable is the environment variable that makes the test binary run as balsam-standin.
const runMainVariable = "BALSAM_STANDIN_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs balsam-standin, and its combined output.
func programCommand(t *testing.T, args ...string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	var output bytes.Buffer
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	cmd.Stdout, cmd.Stderr = &output, &output
	return cmd, &output
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// exitCode returns the exit code of a command that returned err, -1 if it did not exit normally.
func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// Guards against a program that accepts invalid settings, or reports them without the field and the
// allowed values.
func TestFaultySettings(t *testing.T) {
	for _, c := range []struct{ command, content, want string }{
		{"target", `{"targets":[{"id":"t1","zone":"a","address":"here"}]}`, `field "targets[0].address": value "here": an IP address and port`},
		{"target", `{"tragets":[]}`, `field "tragets": value present: a field that the program knows`},
		{"platform", `{"address":"127.0.0.1:1","calls_per_second":-1}`, `field "calls_per_second": value -1: a number from 1`},
		{"platform", `{"address":"127.0.0.1:1","documents":{"sheet":"none.json"}}`, `field "documents.sheet": value none.json: a file`},
	} {
		is := is.New(t)
		path := writeFile(t, c.content)
		cmd, output := programCommand(t, c.command, "--config", path, "--check")
		is.Equal(exitCode(cmd.Run()), exitUsage)
		is.True(strings.Contains(output.String(), path+": "+c.want))
	}
}

// Guards against help without examples, and against another exit code for invalid usage.
func TestUsage(t *testing.T) {
	is := is.New(t)
	cmd, output := programCommand(t, "--help")
	is.NoErr(cmd.Run())
	is.True(strings.Contains(output.String(), "balsam-standin target --config targets.json"))
	cmd, _ = programCommand(t, "target")
	is.Equal(exitCode(cmd.Run()), exitUsage)
}

// Guards against a SIGTERM that interrupts running requests.
func TestStopFinishesRunningWork(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	ln.Close()
	path := writeFile(t, fmt.Sprintf(`{"targets":[{"id":"t1","zone":"a","address":%q,"service_time_ms_median":500}],
		"services":{"clamps":{"snapshots":[{"index_version":1,"shard_map_epoch":1}]}}}`, address))
	cmd, output := programCommand(t, "target", "--config", path)
	is.NoErr(cmd.Start())
	t.Cleanup(func() { cmd.Process.Kill() })
	get := func(path string) string {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		var body bytes.Buffer
		body.ReadFrom(resp.Body)
		return body.String()
	}
	for get("/v1/status") == "" {
		time.Sleep(time.Millisecond)
	}
	code := make(chan int, 1)
	go func() {
		resp, err := http.Post("http://"+address+"/v1/search", "application/json",
			strings.NewReader(`{"service":"clamps","snapshot":{"index_version":1,"shard_map_epoch":1}}`))
		if err != nil {
			code <- 0
			return
		}
		resp.Body.Close()
		code <- resp.StatusCode
	}()
	for !strings.Contains(get("/control/record"), `"started":1`) {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	is.Equal(<-code, http.StatusOK)
	is.Equal(exitCode(cmd.Wait()), exitOK)
	is.True(strings.Contains(output.String(), `"message":"stopped"`))
}
