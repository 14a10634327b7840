package delta

import (
	"bytes"

	"github.com/balsamstall/balsamstall/coordination/revision"
	"github.com/balsamstall/balsamstall/protocol/document"
	"github.com/balsamstall/balsamstall/protocol/peerpb"
	"github.com/balsamstall/balsamstall/protocol/status"
	"github.com/cespare/xxhash/v2"
)

// Diff returns the delta that turns base into target.
func Diff(base, target *Document) *peerpb.Delta {
	out := &peerpb.Delta{Fields: make([]*peerpb.DeltaField, 0, len(target.fields))}
	for i := range target.fields {
		t := &target.fields[i]
		b := base.findField(t.name)
		f := &peerpb.DeltaField{Name: t.name}
		switch {
		case b != nil && sameField(b, t):
			f.Same = true
		case t.array:
			f.Array = true
			f.Runs = diffElements(elementsOf(b), t.elements)
		default:
			f.Value = t.value
		}
		out.Fields = append(out.Fields, f)
	}
	return out
}

func (d *Document) findField(name []byte) *field {
	for i := range d.fields {
		if bytes.Equal(d.fields[i].name, name) {
			return &d.fields[i]
		}
	}
	return nil
}

func elementsOf(f *field) []element {
	if f == nil {
		return nil
	}
	return f.elements
}

func sameField(a, b *field) bool {
	if a.array != b.array || len(a.elements) != len(b.elements) || !bytes.Equal(a.value, b.value) {
		return false
	}
	for i := range a.elements {
		if !sameElement(a.elements[i], b.elements[i]) {
			return false
		}
	}
	return true
}

func sameElement(a, b element) bool { return a.hash == b.hash && bytes.Equal(a.raw, b.raw) }

// diffElements encodes target as runs of base elements and new elements. It prefers the base element
// that follows the last one used, so that consecutive unchanged elements form one run.
func diffElements(base, target []element) []*peerpb.DeltaRun {
	positions := make(map[uint64]int, len(base))
	for i := len(base) - 1; i >= 0; i-- {
		positions[base[i].hash] = i
	}
	var runs []*peerpb.DeltaRun
	next := 0 // The base position that would extend the current run.
	// An element usually changes in place, so the base element in the position of a new one is
	// skipped.
	for _, t := range target {
		from, found := next, next < len(base) && sameElement(base[next], t)
		if !found {
			from, found = positions[t.hash]
			found = found && sameElement(base[from], t)
		}
		last := len(runs) - 1
		switch {
		case !found:
			if last < 0 {
				runs = append(runs, &peerpb.DeltaRun{})
				last++
			}
			runs[last].Elements = append(runs[last].Elements, t.raw)
			next++
			continue
		case last >= 0 && len(runs[last].Elements) == 0 && int(runs[last].From+runs[last].Count) == from:
			runs[last].Count++
		default:
			runs = append(runs, &peerpb.DeltaRun{From: uint32(from), Count: 1})
		}
		next = from + 1
	}
	return runs
}

// Apply returns the document that results from applying d to base. want is the digest of the whole
// result; Apply returns an error if the result has another. The result shares no memory with base
// or d.
func Apply(base *Document, d *peerpb.Delta, want revision.Digest) (*Document, error) {
	b := builder{doc: &Document{fields: make([]field, 0, len(d.Fields))}}
	b.doc.compact = make([]byte, 0, len(base.compact)+len(base.compact)/16)
	b.byte('{')
	for i, f := range d.Fields {
		if i > 0 {
			b.byte(',')
		}
		if err := b.writeField(base, f); err != nil {
			return nil, err
		}
		if len(b.doc.compact) >= document.MaxSize {
			return nil, status.New(status.TooLarge, "", "delta result exceeds %d bytes", document.MaxSize)
		}
	}
	b.byte('}')
	if b.doc.digest = revision.DigestOf(b.doc.compact); b.doc.digest != want {
		return nil, status.New(status.RevisionConflict, "", "delta result has digest %s instead of %s", b.doc.digest, want)
	}
	b.resolveSpans()
	return b.doc, nil
}

// builder assembles a document. It records parts as offsets, because the buffer may be reallocated
// while it grows.
type builder struct {
	doc   *Document
	spans []fieldSpan
}

// fieldSpan holds the start and end offsets of a field's name and of its value or elements.
type fieldSpan struct {
	name, value [2]int
	array       bool
	elements    [][2]int
	hashes      []uint64
}

func (b *builder) byte(c byte) { b.doc.compact = append(b.doc.compact, c) }

func (b *builder) writeRaw(raw []byte) [2]int {
	start := len(b.doc.compact)
	b.doc.compact = append(b.doc.compact, raw...)
	return [2]int{start, len(b.doc.compact)}
}

func (b *builder) writeField(base *Document, f *peerpb.DeltaField) error {
	old := base.findField(f.Name)
	s := fieldSpan{name: b.writeRaw(f.Name)}
	b.byte(':')
	switch {
	case f.Same && old == nil:
		return status.New(status.InvalidArgument, "", "delta keeps field %.40s, which the base does not have", f.Name)
	case f.Same && old.array:
		s.array = true
		b.byte('[')
		b.writeElements(&s, old.elements)
		b.byte(']')
	case f.Same:
		s.value = b.writeRaw(old.value)
	case f.Array:
		s.array = true
		b.byte('[')
		for _, run := range f.Runs {
			if err := b.writeRun(&s, elementsOf(old), run); err != nil {
				return err
			}
		}
		b.byte(']')
	default:
		s.value = b.writeRaw(f.Value)
	}
	b.spans = append(b.spans, s)
	return nil
}

func (b *builder) writeRun(s *fieldSpan, base []element, run *peerpb.DeltaRun) error {
	end := uint64(run.From) + uint64(run.Count)
	if end > uint64(len(base)) {
		return status.New(status.InvalidArgument, "", "delta takes elements up to position %d, but the base has %d", end, len(base))
	}
	b.writeElements(s, base[run.From:end])
	for _, raw := range run.Elements {
		b.writeElement(s, element{hash: xxhash.Sum64(raw), raw: raw})
	}
	if len(b.doc.compact) > document.MaxSize {
		return status.New(status.TooLarge, "", "delta result exceeds %d bytes", document.MaxSize)
	}
	return nil
}

func (b *builder) writeElements(s *fieldSpan, elements []element) {
	for _, e := range elements {
		b.writeElement(s, e)
	}
}

func (b *builder) writeElement(s *fieldSpan, e element) {
	if len(s.elements) > 0 {
		b.byte(',')
	}
	s.elements = append(s.elements, b.writeRaw(e.raw))
	s.hashes = append(s.hashes, e.hash)
}

// resolveSpans converts the spans to slices of the finished buffer.
func (b *builder) resolveSpans() {
	part := func(at [2]int) []byte { return b.doc.compact[at[0]:at[1]:at[1]] }
	for _, s := range b.spans {
		f := field{name: part(s.name), array: s.array}
		if !s.array {
			f.value = part(s.value)
		}
		for i, at := range s.elements {
			f.elements = append(f.elements, element{hash: s.hashes[i], raw: part(at)})
		}
		b.doc.fields = append(b.doc.fields, f)
	}
}
