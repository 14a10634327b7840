package inputs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamstall/balsamstall/protocol/callerapi"
	"github.com/balsamstall/balsamstall/protocol/status"
)

const validBody = `{"service":"quote-desk-1","query":"jig plate"}`

// Guards against a bad request that runs, that gets a response without a code and an outcome, or
// that keeps the entry from serving the next request.
func TestBadRequests(t *testing.T) {
	address := startEntry(t)
	for _, c := range []struct {
		input, method, path, authorization, body string
		status                                   int
		code                                     status.Code
		want                                     string
	}{
		{"oversized body", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 413, status.TooLarge, "4096 bytes"},
		{"wrong method", "GET", "", "Bearer " + asanKey, "", 405, status.InvalidArgument, "POST"},
		{"wrong method with a body", "PUT", "", "Bearer " + asanKey, validBody, 405, status.InvalidArgument, "POST"},
		{"wrong path", "POST", "/v1/find", "Bearer " + asanKey, validBody, 404, status.NotFound, "/v1/find"},
		{"root path", "GET", "/", "", "", 404, status.NotFound, "/v1/search"},
		{"empty body", "POST", "", "Bearer " + asanKey, "", 400, status.InvalidArgument, "not a valid search request"},
		{"not JSON", "POST", "", "Bearer " + asanKey, "service=quote-desk-1", 400, status.InvalidArgument, "invalid character"},
		{"deeply nested", "POST", "", "Bearer " + asanKey, strings.Repeat("[", 2000), 400, status.InvalidArgument, "nested deeper than 64"},
		{"deeply nested, wrong key", "POST", "", "Bearer wrong", strings.Repeat("[", 2000), 401, status.Unauthenticated, ""},
		{"wrong key, name of the permit with an escape", "POST", "", "Bearer wrong", `{"service":"quote-desk-1","query":"q","\u0070ermit":"forged"}`, 401, status.Unauthenticated, ""},
		{"two JSON values", "POST", "", "Bearer " + asanKey, validBody + validBody, 400, status.InvalidArgument, "more than one JSON value"},
		{"unknown field", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":"q","workspace":"molina-shop"}`, 400, status.InvalidArgument, "workspace"},
		{"wrong type", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":7}`, 400, status.InvalidArgument, "query"},
		{"a list instead of an object", "POST", "", "Bearer " + asanKey, `[]`, 400, status.InvalidArgument, "an object"},
		{"null", "POST", "", "Bearer " + asanKey, `null`, 403, status.PermissionDenied, ""},
		{"negative deadline", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":"q","deadline_ms":-1}`, 400, status.InvalidArgument, "deadline_ms is -1 and must be from 0 to 5000"},
		{"too long deadline", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":"q","deadline_ms":5001}`, 400, status.InvalidArgument, "deadline_ms is 5001"},
		{"deadline beyond 64 bits", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":"q","deadline_ms":1e30}`, 400, status.InvalidArgument, "deadline_ms"},
		{"empty query", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":""}`, 400, status.InvalidArgument, "query"},
		{"unknown service", "POST", "", "Bearer " + asanKey, `{"service":"none","query":"q"}`, 403, status.PermissionDenied, "none"},
		{"another caller's service", "POST", "", "Bearer " + asanKey, `{"service":"member-ledger-1","query":"q"}`, 403, status.PermissionDenied, "member-ledger-1"},
		{"wrong key", "POST", "", "Bearer wrong", validBody, 401, status.Unauthenticated, ""},
		{"no key", "POST", "", "", validBody, 401, status.Unauthenticated, "Authorization"},
		{"key without the scheme", "POST", "", asanKey, validBody, 401, status.Unauthenticated, "Authorization"},
		{"no key, with a permit", "POST", "", "", `{"service":"quote-desk-1","query":"q","permit":"forged"}`, 401, status.Unauthenticated, "Authorization"},
		{"wrong key, with a permit", "POST", "", "Bearer wrong", `{"service":"quote-desk-1","query":"q","permit":"forged"}`, 401, status.Unauthenticated, ""},
		{"permit that no entry issued", "POST", "", "Bearer " + asanKey, `{"service":"quote-desk-1","query":"q","permit":"forged"}`, 200, "", ""},
	} {
		t.Run(c.input, func(t *testing.T) {
			is := is.New(t)
			path := c.path
			if path == "" {
				path = callerapi.SearchPath
			}
			code, fault := send(t, address, c.method, path, c.authorization, c.body)
			got := fmt.Sprintf("%d %s, %s: %s", code, fault.Code, fault.Outcome, fault.Message)
			if c.code == "" {
				got = fmt.Sprintf("%d: an answer; services that are idempotent ignore permits", code)
			}
			logTableRow(t, "", c.method+" "+path, c.input, got)
			is.Equal(code, c.status)
			is.Equal(fault.Code, c.code)
			if c.code != "" && strings.Contains(c.body, `ermit"`) {
				is.Equal(fault.Outcome, status.Unknown) // An earlier use of the permit may have run.
			} else if c.code != "" {
				is.Equal(fault.Outcome, status.NotRun)
			}
			if !strings.Contains(fault.Message, c.want) {
				t.Errorf("the message does not name %q: %s", c.want, fault.Message)
			}
			is.True(!strings.Contains(fault.Message, asanKey)) // The message must not reveal the key.
		})
	}
	if !servesRequests(address) {
		t.Error("the entry does not serve other requests after the bad ones")
	}
}

func send(t *testing.T, address, method, path, authorization, body string) (int, callerapi.ErrorResponse) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var fault callerapi.ErrorResponse
	if err := json.NewDecoder(resp.Body).Decode(&fault); err != nil {
		t.Errorf("the response with status %d is not JSON: %v", resp.StatusCode, err)
	}
	return resp.StatusCode, fault
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

// Guards against headers of unlimited size.
func TestOversizedHeader(t *testing.T) {
	is := is.New(t)
	address := startEntry(t)
	conn := dial(t, address)
	go func() {
		// The entry may close the connection before the request is written completely.
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nX-Filler: %s\r\n\r\n", callerapi.SearchPath, strings.Repeat("x", 64<<10))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	resp.Body.Close()
	logTableRow(t, "", "POST /v1/search", "header of 64 KiB", resp.Status)
	is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.True(servesRequests(address))
}

// Guards against a connection that stays open although the client does not speak HTTP.
func TestBytesThatAreNotHTTP(t *testing.T) {
	is := is.New(t)
	address := startEntry(t)
	conn := dial(t, address)
	_, err := conn.Write([]byte("\x16\x03\x01hello\r\n\r\n"))
	is.NoErr(err)
	got, err := io.ReadAll(conn)
	is.NoErr(err) // The entry closes the connection.
	logTableRow(t, "", "bytes that are not HTTP", "a TLS greeting", strings.SplitN(string(got), "\r\n", 2)[0])
	is.True(strings.HasPrefix(string(got), "HTTP/1.1 400 "))
	is.True(servesRequests(address))
}

// Guards against clients that send one byte at a time and thereby keep the entry from serving
// others or hold their connections forever.
func TestSlowSenders(t *testing.T) {
	is := is.New(t)
	address := startEntry(t)
	request := []byte(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerapi.SearchPath, asanKey, 4000, strings.Repeat(" ", 4000)))
	body := strings.Index(string(request), "\r\n\r\n") + 4
	conns := map[string]net.Conn{"in the header": dial(t, address), "in the body": dial(t, address)}
	_, err := conns["in the body"].Write(request[:body])
	is.NoErr(err)
	stop := make(chan struct{})
	defer close(stop)
	for place, conn := range conns {
		rest := request
		if place == "in the body" {
			rest = request[body:]
		}
		go func() {
			for _, b := range rest {
				if _, err := conn.Write([]byte{b}); err != nil {
					return
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
	is.True(servesRequests(address)) // While both clients are sending.
	for place, conn := range conns {
		got, err := io.ReadAll(conn)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Errorf("%s: the connection is still open after %v", place, waitTimeout)
		}
		first, _, _ := strings.Cut(string(got), "\r\n")
		logTableRow(t, "", "POST /v1/search", "one byte at a time "+place, "the connection is closed; received: "+fmt.Sprintf("%q", first))
	}
	is.True(servesRequests(address))
}

// Guards against clients that never read their responses and thereby keep the entry from serving
// others.
func TestClientsThatNeverRead(t *testing.T) {
	is := is.New(t)
	address := startEntry(t)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerapi.SearchPath, asanKey, len(validBody), validBody)
	for range maxConnections / 2 {
		conn := dial(t, address)
		// With a small receive buffer the entry's writes block early.
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(1 << 10))
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		for range 200 {
			if _, err := conn.Write([]byte(request)); err != nil {
				break // The entry has stopped reading from this connection.
			}
		}
	}
	for range 10 {
		is.True(servesRequests(address))
	}
	logTableRow(t, "", "POST /v1/search", fmt.Sprintf("%d clients that send 200 requests each and never read", maxConnections/2), "ten requests of others are answered meanwhile")
}

// Guards against an unlimited number of connections, and against a limit that stays reached after
// clients have disconnected.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	address := startEntry(t)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerapi.SearchPath, asanKey, len(validBody), validBody)
	ask := func(conn net.Conn) (*bufio.Reader, error) {
		_, err := conn.Write([]byte(request))
		return bufio.NewReader(conn), err
	}
	held := make([]net.Conn, maxConnections)
	for n := range held {
		held[n] = dial(t, address)
		r, err := ask(held[n])
		is.NoErr(err)
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	extra := dial(t, address)
	r, err := ask(extra)
	is.NoErr(err)
	_ = extra.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = r.Peek(1)
	timeout, ok := err.(net.Error)
	is.True(ok && timeout.Timeout()) // The request waits without a response.
	is.NoErr(held[0].Close())
	_ = extra.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	logTableRow(t, "", "POST /v1/search", fmt.Sprintf("connection %d of %d allowed", maxConnections+1, maxConnections), "waits unanswered until another one closes, then 200")
}

// Guards against leaking connections of clients that disconnect during a request or before its
// response.
func TestClientsThatDisconnect(t *testing.T) {
	is := is.New(t)
	address := startEntry(t)
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		callerapi.SearchPath, asanKey, len(validBody), validBody)
	// With more clients than allowed connections, a leak would exhaust the limit.
	for _, part := range []int{0, 10, len(request) - len(validBody), len(request) - 5, len(request)} {
		for range maxConnections {
			conn := dial(t, address)
			_, err := conn.Write([]byte(request[:part]))
			is.NoErr(err)
			is.NoErr(conn.Close())
		}
	}
	is.True(servesRequests(address))
	logTableRow(t, "", "POST /v1/search", fmt.Sprintf("%d clients that disconnect before, in and after the request", 5*maxConnections), "nothing; the next request is answered")
}
