package permit

import "strings"

// SignForTest returns a token that carries payload with a valid signature.
func SignForTest(s *Signer, payload []byte) string {
	return encode(payload) + separator + encode(computeMAC(s.key, payload))
}

// PayloadForTest returns the JSON claims of a valid token.
func PayloadForTest(token string) []byte {
	text, _, _ := strings.Cut(token, separator)
	payload, _ := decode(text)
	return payload
}
