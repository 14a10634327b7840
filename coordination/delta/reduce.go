package delta

// Reduced is a document without the array elements that it has in common with a base document.
type Reduced struct {
	// JSON is the document with only the elements that the base does not have.
	JSON []byte
	// Origins maps the name of each top-level array to the origin of each element of the full
	// document: a position in the base's array of the same name, or -1 for the next element in
	// JSON.
	Origins map[string][]int
}

// Reduce returns d without those elements of its top-level arrays that base has in the array of the
// same name, so that only the changes have to be decoded. It returns false if two fields have the
// same name.
func Reduce(base, d *Document) (Reduced, bool) {
	r := Reduced{JSON: []byte{'{'}, Origins: make(map[string][]int, len(d.fields))}
	names := make(map[string]bool, len(d.fields))
	for i := range d.fields {
		f := &d.fields[i]
		if names[string(f.name)] {
			return Reduced{}, false
		}
		names[string(f.name)] = true
		if i > 0 {
			r.JSON = append(r.JSON, ',')
		}
		r.JSON = append(append(r.JSON, f.name...), ':')
		if !f.array {
			r.JSON = append(r.JSON, f.value...)
			continue
		}
		// A field name includes its quotes.
		r.Origins[string(f.name[1:len(f.name)-1])] = r.reduceArray(elementsOf(base.findField(f.name)), f.elements)
	}
	r.JSON = append(r.JSON, '}')
	return r, true
}

func (r *Reduced) reduceArray(base, elements []element) []int {
	origins := make([]int, len(elements))
	r.JSON = append(r.JSON, '[')
	first := true
	var positions map[uint64]int // Built only when some element is not at its base position.
	for i, e := range elements {
		if i < len(base) && sameElement(base[i], e) {
			origins[i] = i
			continue
		}
		if positions == nil {
			positions = make(map[uint64]int, len(base))
			for j := range base {
				positions[base[j].hash] = j
			}
		}
		if j, ok := positions[e.hash]; ok && sameElement(base[j], e) {
			origins[i] = j
			continue
		}
		origins[i] = -1
		if !first {
			r.JSON = append(r.JSON, ',')
		}
		first = false
		r.JSON = append(r.JSON, e.raw...)
	}
	r.JSON = append(r.JSON, ']')
	return origins
}

// Merge reassembles a full array from the elements of base that origins refers to and those of
// changed, in order. It returns false if the number of elements of changed does not match origins or
// a position is outside base.
func Merge[T any](origins []int, base, changed []T) ([]T, bool) {
	if origins == nil {
		return changed, true // The document has no such array.
	}
	merged := make([]T, len(origins))
	next := 0
	for i, from := range origins {
		switch {
		case from >= 0 && from < len(base):
			merged[i] = base[from]
		case from >= 0 || next == len(changed):
			return nil, false
		default:
			merged[i] = changed[next]
			next++
		}
	}
	return merged, next == len(changed)
}
