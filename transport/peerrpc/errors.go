package peerrpc

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/balsamstall/balsamstall/protocol/status"
	"storj.io/drpc/drpcerr"
)

// statusErrorCode marks a drpc error whose text is a wireError as JSON.
const statusErrorCode = 1000

// wireError is the wire format of a status.Error. The cause is not sent to the peer.
type wireError struct {
	Code         status.Code `json:"code"`
	Message      string      `json:"message"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// Error returns the error as JSON, because drpc sends the text of an error.
func (e wireError) Error() string {
	text, err := json.Marshal(e)
	if err != nil {
		return `{"code":"internal","message":"error could not be encoded"}`
	}
	return string(text)
}

// encodeError converts an error of a handler for the wire.
func encodeError(err error) error {
	e := status.From(err)
	return drpcerr.WithCode(wireError{Code: e.Code, Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds()}, statusErrorCode)
}

// decodeError returns the error that a peer sent, and whether err is one. After such an error the
// connection remains usable.
func decodeError(err error) (*status.Error, bool) {
	if drpcerr.Code(err) != statusErrorCode {
		return nil, false
	}
	// The wrappers of errs and drpcerr add no prefix to the text.
	var wire wireError
	if json.Unmarshal([]byte(err.Error()), &wire) != nil || wire.Code == "" {
		return nil, false
	}
	e := status.New(wire.Code, status.Unknown, "%s", wire.Message)
	return e.WithRetryAfter(time.Duration(wire.RetryAfterMS) * time.Millisecond), true
}

// callError classifies the error of a call of which a byte may have been sent.
func callError(ctx context.Context, err error, address string) *status.Error {
	return status.Wrap(err, contextCode(ctx, err, status.ConnectionFailed), status.Unknown, "call to peer %s", address)
}

// contextCode returns the status code of an ended context, or else the fallback.
func contextCode(ctx context.Context, err error, fallback status.Code) status.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return status.DeadlineExceeded
	case ctx.Err() != nil:
		return status.Canceled
	}
	return fallback
}
