package ctl

import (
	"context"
	"io"
	"net/http"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxAnswerBytes limits how much of an admin answer's body is read.
const maxAnswerBytes = 16 << 20

// adminClient connects to entries directly. http.DefaultClient would use the proxy that the
// environment configures.
var adminClient = &http.Client{Transport: &http.Transport{}}

// call sends an admin request to the entry at address (IP:port) and returns the body of the
// answer. An HTTP status of 300 or above is an error.
func call(ctx context.Context, method, address, path, key string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "invalid admin address %q", address)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	reply, err := adminClient.Do(request)
	if err != nil {
		return nil, status.Wrap(err, status.Unavailable, "", "no answer from %s", address)
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes))
	if err != nil {
		return nil, status.Wrap(err, status.Unavailable, "", "incomplete answer from %s", address)
	}
	if reply.StatusCode >= http.StatusMultipleChoices {
		return nil, status.New(codeOfHTTPStatus(reply.StatusCode), "", "%s %s at %s: HTTP status %d: %.200s", method, path, address, reply.StatusCode, data)
	}
	return data, nil
}

// codeOfHTTPStatus returns the status code that corresponds to an HTTP error status.
func codeOfHTTPStatus(httpStatus int) status.Code {
	switch httpStatus {
	case http.StatusUnauthorized:
		return status.Unauthenticated
	case http.StatusForbidden:
		return status.PermissionDenied
	case http.StatusNotFound:
		return status.NotFound
	default:
		return status.Unavailable
	}
}
