package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/balsamstall/balsamstall/protocol/platformapi"
)

func startPlatform(t *testing.T, s *Settings) *Platform {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	p.Start(ln)
	t.Cleanup(p.Close)
	return p
}

// call sends one request and returns the status code and the body.
func call(t *testing.T, p *Platform, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+p.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// Guards against a watch that misses a new version or answers without one.
func TestWatchAnswersOnPublish(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	code, _ := call(t, p, "GET", "/v1/config/sheet", "")
	is.Equal(code, http.StatusNotFound)
	code, body := call(t, p, "PUT", "/control/config/sheet", `{"revision":1}`)
	is.Equal(code, http.StatusOK)
	is.Equal(body, `{"version":1}`)
	code, _ = call(t, p, "GET", "/v1/watch/sheet?after=1&wait_ms=1", "")
	is.Equal(code, http.StatusNoContent)

	answer := make(chan string)
	go func() {
		_, body := call(t, p, "GET", "/v1/watch/sheet?after=1&wait_ms=60000", "")
		answer <- body
	}()
	_, err := p.Publish("sheet", json.RawMessage(`{"revision":2}`))
	is.NoErr(err)
	is.Equal(<-answer, `{"key":"sheet","version":2,"value":{"revision":2}}`)
}

// Guards against host lists that do not reach the clients.
func TestHosts(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t, NewSettings(""))
	hosts := `{"hosts":[{"id":"e1","kind":"entry","zone":"a","address":"127.0.0.1:7201","state":"live"}]}`
	code, _ := call(t, p, "PUT", "/control/hosts", hosts)
	is.Equal(code, http.StatusOK)
	code, body := call(t, p, "GET", platformapi.HostsPath, "")
	is.Equal(code, http.StatusOK)
	is.Equal(body, hosts)
}
