package permit

import "strings"

// SignForTest returns a token with a valid signature over any payload.
func SignForTest(s *Signer, payload []byte) string {
	return encode(payload) + separator + encode(sum(s.key, payload))
}

// PayloadForTest returns the encoded claims of a valid token.
func PayloadForTest(token string) []byte {
	text, _, _ := strings.Cut(token, separator)
	payload, _ := decode(text)
	return payload
}
