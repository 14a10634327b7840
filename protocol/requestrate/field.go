package requestrate

import "strconv"

// Field is a rate as a JSON number in requests per second. An invalid value does not fail the decoding
// of the document around it.
type Field struct {
	Rate
	// Invalid is an *InvalidError if the value is no rate.
	Invalid error
}

// UnmarshalJSON implements json.Unmarshaler. It never returns an error.
func (f *Field) UnmarshalJSON(text []byte) error {
	f.Rate, f.Invalid = Parse([]string{string(text)})
	return nil
}

// MarshalJSON implements json.Marshaler.
func (f Field) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, f.PerSecond, 'f', -1, 64), nil
}
