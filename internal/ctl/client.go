package ctl

import (
	"context"
	"io"
	"net/http"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// maxAnswerBytes bounds the body of an admin answer that is read.
const maxAnswerBytes = 16 << 20

// adminClient reaches entries directly; http.DefaultClient would use a proxy
// that the environment names.
var adminClient = &http.Client{Transport: &http.Transport{}}

// call sends one admin request to an entry at address (IP:port) and returns the
// body of an answer with a status below 300.
func call(ctx context.Context, method, address, path, key string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, status.Wrap(err, status.InvalidArgument, "", "admin address %q", address)
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
		return nil, status.New(codeOf(reply.StatusCode), "", "%s %s at %s: HTTP status %d: %.200s", method, path, address, reply.StatusCode, data)
	}
	return data, nil
}

func codeOf(httpStatus int) status.Code {
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
