package relayapi

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields lists header fields that apply to a single connection (RFC 9110, section 7.6.1).
// Content-Length and Expect are included because they are set anew for the next connection.
var hopByHopFields = []string{"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// RemoveHopByHopFields removes the fields that apply only to the connection on which h was
// received, including the fields that its Connection field lists.
func RemoveHopByHopFields(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}
