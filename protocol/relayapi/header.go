package relayapi

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopFields concern one connection only (RFC 9110, section 7.6.1). The length and
// the expectation are made anew for the next connection.
var hopFields = []string{"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// RemoveHopFields removes the fields that concern only the connection on which the
// header came, those that it names itself included.
func RemoveHopFields(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopFields {
		h.Del(name)
	}
}
