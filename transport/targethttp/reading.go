package targethttp

import (
	"errors"
	"io"

	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/balsamstall/balsamstall/state/bytebudget"
)

// readReplyBody reads a body of the given length, or up to its end if length is negative. Its bytes count
// toward the budget of the process while it is read; endless bodies from hundreds of targets must not
// exhaust the memory of a small host. It returns an error with the code TooLarge if the budget is
// exhausted.
func readReplyBody(budget *bytebudget.Budget, body io.Reader, length int64) ([]byte, error) {
	h := budget.Hold(bytebudget.Reply)
	defer h.Close()
	data, err := h.Read(body, length, nil)
	if errors.Is(err, bytebudget.ErrExhausted) {
		return nil, status.New(status.TooLarge, status.Unknown, "the budget of held bytes is exhausted by replies that are being read and by requests")
	}
	return data, err
}
