// Package jsonmsg decodes the JSON messages of the protocol packages with a size limit and typed
// errors.
//
// Every error is a *status.Error: TooLarge above the size limit, ConnectionFailed if the reader
// fails, and InvalidArgument otherwise. Its outcome is empty, because it depends on the message: a
// malformed request did not run, but a malformed reply leaves the outcome Unknown.
package jsonmsg

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// UnknownFields selects how to treat fields that the message type does not define.
type UnknownFields int

const (
	// IgnoreUnknownFields skips unknown fields. Use it for messages from programs that may be newer
	// than this one.
	IgnoreUnknownFields UnknownFields = iota
	// RejectUnknownFields returns an error for unknown fields. Use it for input written by people,
	// where a misspelled field would otherwise be ignored.
	RejectUnknownFields
)

// Decode decodes the single JSON value in data. It rejects data longer than limit bytes without
// parsing it. The decoded value takes memory in proportion to the size of data, by a factor that
// depends on the type: at most the size of one slice element for every 3 bytes, doubled by the
// growth of the slice.
func Decode[T any](data []byte, limit int, unknown UnknownFields) (T, error) {
	var v T
	if len(data) > limit {
		return v, tooLarge(limit)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if unknown == RejectUnknownFields {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(&v); err != nil {
		return *new(T), status.Wrap(err, status.InvalidArgument, "", "message of %d bytes is not valid JSON of its type", len(data))
	}
	if _, err := dec.Token(); err != io.EOF {
		return *new(T), status.New(status.InvalidArgument, "", "unexpected data after the message at byte %d", dec.InputOffset())
	}
	return v, nil
}

// Read decodes the remaining data of r. It reads at most limit+1 bytes.
func Read[T any](r io.Reader, limit int, unknown UnknownFields) (T, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return *new(T), status.Wrap(err, status.ConnectionFailed, "", "read message")
	}
	return Decode[T](data, limit, unknown)
}

func tooLarge(limit int) error {
	return status.New(status.TooLarge, "", "message has more than %d bytes", limit)
}
