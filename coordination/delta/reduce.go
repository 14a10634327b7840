package delta

// Reduced is a document without the elements that another document has too.
type Reduced struct {
	// JSON is the document with the other elements only.
	JSON []byte
	// Origins tells, for each top-level array by its name, where each element
	// of the full document comes from: a position in the base's array of the
	// same name, or -1 for the next element of JSON.
	Origins map[string][]int
}

// Reduce returns d without the elements of its top-level arrays that base has
// in the array of the same name, so that only what changed must be decoded. It
// returns false when two fields have the same name.
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
		// The quotes belong to the name.
		r.Origins[string(f.name[1:len(f.name)-1])] = r.reduceArray(elementsOf(base.find(f.name)), f.elements)
	}
	r.JSON = append(r.JSON, '}')
	return r, true
}

func (r *Reduced) reduceArray(base, elements []element) []int {
	origins := make([]int, len(elements))
	r.JSON = append(r.JSON, '[')
	first := true
	var positions map[uint64]int // Made when an element is not in its place.
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

// Merge returns the elements of the full array: those of base by position, and
// changed in its order. It returns false when changed does not have the number
// of elements that origins call for, or a position is outside base.
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
