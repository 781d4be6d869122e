package platform

// jsonStream splits a stream of bytes into JSON objects. An object may extend over several lines and
// arrive in several pieces. Lines between two objects may be blank.
type jsonStream struct {
	maxObjectBytes int
	partial        []byte // the beginning of an incomplete object, from earlier pieces
	depth          int    // of nested objects and arrays; 0 between objects
	inString       bool
	escaped        bool // the next byte of the string follows a backslash
}

// jsonElement is what jsonStream.next found in the latest piece.
type jsonElement struct {
	kind   jsonElementKind
	length int    // bytes of the latest piece up to the end of the element
	object []byte // the complete object if kind is jsonObject, else nil
}

type jsonElementKind uint8

const (
	// jsonIncomplete means that all bytes were consumed and more are needed.
	jsonIncomplete jsonElementKind = iota // incomplete
	// jsonObject is a complete object.
	jsonObject // object
	// jsonBlankLine is a line feed outside of objects.
	jsonBlankLine // blank line
	// jsonInvalid means that the stream has something other than objects, or an object is too long.
	jsonInvalid // invalid
)

// next returns the first element that ends within piece, or one of kind jsonIncomplete if none does.
func (s *jsonStream) next(piece []byte) jsonElement {
	start := 0
	for i, c := range piece {
		if s.depth > 0 {
			s.advance(c)
			if s.depth == 0 {
				return s.complete(piece[start:i+1], i+1)
			}
			continue
		}
		switch c {
		case '\n':
			return jsonElement{kind: jsonBlankLine, length: i + 1}
		case ' ', '\t', '\r':
		case '{':
			start = i
			s.depth = 1
		default:
			return jsonElement{kind: jsonInvalid, length: i}
		}
	}
	if s.depth > 0 {
		s.partial = append(s.partial, piece[start:]...)
	}
	if len(s.partial) > s.maxObjectBytes {
		return jsonElement{kind: jsonInvalid, length: len(piece)}
	}
	return jsonElement{kind: jsonIncomplete, length: len(piece)}
}

// isIncomplete reports whether the stream ends within an object so far.
func (s *jsonStream) isIncomplete() bool { return s.depth > 0 }

// advance processes one byte of an object.
func (s *jsonStream) advance(c byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped = c == '\\'
		s.inString = c != '"'
	case c == '"':
		s.inString = true
	case c == '{' || c == '[':
		s.depth++
	case c == '}' || c == ']':
		s.depth--
	}
}

// complete returns the element for the current object, whose last bytes are end.
func (s *jsonStream) complete(end []byte, length int) jsonElement {
	object := append(s.partial, end...)
	s.partial = nil
	if len(object) > s.maxObjectBytes {
		return jsonElement{kind: jsonInvalid, length: length}
	}
	return jsonElement{kind: jsonObject, length: length, object: object}
}
