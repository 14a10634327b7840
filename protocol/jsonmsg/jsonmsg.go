// Package jsonmsg decodes the JSON messages of the protocol packages with a
// size limit and typed errors.
//
// Every error is a *status.Error: TooLarge above the limit, ConnectionFailed
// when the reader fails, InvalidArgument for anything else. Its outcome is
// empty, because the message decides it: a faulty request did not run, while a
// faulty reply leaves the outcome Unknown.
package jsonmsg

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/balsamstall/balsamstall/protocol/status"
)

// Unknown says what happens to fields that the message type does not have.
type Unknown int

const (
	// Ignore skips unknown fields. Use it for messages of programs that may be
	// newer than this one.
	Ignore Unknown = iota
	// Refuse makes an unknown field an error. Use it for what people write, where
	// a misspelt field would otherwise be lost.
	Refuse
)

// Decode returns the single JSON value in data. It does not look at data longer
// than limit bytes. The decoded value takes a multiple of the size of data that
// is bounded by the type: at most the size of a list's element for every 3 bytes,
// doubled by the growth of the list.
func Decode[T any](data []byte, limit int, unknown Unknown) (T, error) {
	var v T
	if len(data) > limit {
		return v, tooLarge(limit)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if unknown == Refuse {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(&v); err != nil {
		return *new(T), status.Wrap(err, status.InvalidArgument, "", "message of %d bytes is not valid JSON of its type", len(data))
	}
	if _, err := dec.Token(); err != io.EOF {
		return *new(T), status.New(status.InvalidArgument, "", "data follows the message at byte %d", dec.InputOffset())
	}
	return v, nil
}

// Read decodes the rest of r. It reads at most limit+1 bytes.
func Read[T any](r io.Reader, limit int, unknown Unknown) (T, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return *new(T), status.Wrap(err, status.ConnectionFailed, "", "read message")
	}
	return Decode[T](data, limit, unknown)
}

func tooLarge(limit int) error {
	return status.New(status.TooLarge, "", "message has more than %d bytes", limit)
}
