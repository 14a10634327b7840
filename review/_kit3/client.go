package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var (
	background = context.Background()
	requestIDs atomic.Uint64
)

// nextID returns the id of a new client attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+requestIDs.Add(1)) }

const host = "shop.example"

// client is a client with a kept connection to one entry.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request and reads the answer.
func (c *client) send(id, method, path string, body []byte, deadline time.Duration) (a answer) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	defer func() {
		if a.err != nil {
			c.close()
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if resp.Close {
		defer c.close()
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// leave sends a request and closes the connection after a time, without an answer.
func (c *client) leave(id, path string, deadline, after time.Duration) {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	check(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
	check(err)
	time.Sleep(after)
}
