package http1

//go:generate go tool stringer -linecomment -type=Kind,state -output=enum_string.go

// Kind is what Parser.Next found in its input.
type Kind uint8

const (
	// NeedMore means that the parser needs more bytes to continue.
	NeedMore Kind = iota // More
	// HeadDone means that Parser.Head is set.
	HeadDone
	// Data means that a part of the content was found.
	Data
	// End means that the message is complete. The next one may follow.
	End
)

// state is the part of a message that the next byte belongs to.
type state uint8

const (
	stateHead state = iota // head
	// stateFixedContent is content of a known length.
	stateFixedContent // fixed content
	// stateChunkSize is the line that begins a chunk.
	stateChunkSize // chunk size
	stateChunkData // chunk data
	// stateChunkEnd is the CRLF after a chunk's data.
	stateChunkEnd // chunk end
	stateTrailer  // trailer
	// stateUntilClose is content that ends with the connection.
	stateUntilClose // until close
	// stateEnd is a complete message for which Next has not yet returned End.
	stateEnd // end
)

// Parser parses one message after another. Create it with NewRequestParser or NewResponseParser. It does not
// copy its input, and reuses the memory of Head.Fields for the next message.
type Parser struct {
	// Head is the head of the current message, valid once Next has returned HeadDone. Its slices are
	// part of that call's input, so they are valid until the caller overwrites that input.
	Head Head

	limits      *Limits
	isResponse  bool // parses responses rather than requests
	state       state
	scanned     int   // bytes of the incomplete head or line that were already searched for a line end
	remaining   int64 // bytes of the content or the chunk that are not yet consumed
	contentSize int64 // bytes of content so far
	trailerSize int   // bytes of the trailer so far
}

// element is what the parser consumed in one step. The zero element means that nothing was consumed. An
// element of kind Data consists of content only.
type element struct {
	consumed int  // bytes
	kind     Kind // NeedMore for an element that Next does not report
}

// NewRequestParser returns a parser of requests, for a server.
func NewRequestParser(limits *Limits) *Parser { return &Parser{limits: limits} }

// NewResponseParser returns a parser of responses, for a client. It does not know the methods of the
// requests, so it must not be used for responses to HEAD or CONNECT (RFC 9112, section 6.3, rules 1
// and 2).
func NewResponseParser(limits *Limits) *Parser { return &Parser{limits: limits, isResponse: true} }

// Idle reports whether the parser is between two messages. It also returns true while the start line of
// the next message is incomplete.
func (p *Parser) Idle() bool { return p.state == stateHead && p.scanned == 0 }

// Next parses b, which begins with the first byte not consumed by earlier calls. It returns how many
// bytes it consumed and what it found. data is a slice of b and only set if kind is Data. The caller
// owns b. After an error the parser must not be used again.
func (p *Parser) Next(b []byte) (consumed int, kind Kind, data []byte, err *Error) {
	for {
		rest := b[consumed:]
		found, err := p.readElement(rest)
		consumed += found.consumed
		if found.kind == Data {
			return consumed, Data, rest[:found.consumed], nil
		}
		if found.kind != NeedMore || err != nil || found.consumed == 0 {
			return consumed, found.kind, nil, err
		}
	}
}

// EndOfInput tells the parser that the connection has ended. It reports whether that completes the
// current message, as it does for a response without a length. If so, Next then returns End.
func (p *Parser) EndOfInput() bool {
	complete := p.state == stateUntilClose
	if complete {
		p.state = stateEnd
	}
	return complete
}

// readElement consumes one element of the message. It returns the zero element if it needs more bytes.
func (p *Parser) readElement(b []byte) (element, *Error) {
	switch p.state {
	case stateHead:
		return p.readHead(b)
	case stateFixedContent:
		if p.remaining == 0 {
			return p.endMessage(), nil
		}
		return p.readContent(b), nil
	case stateUntilClose:
		return p.readUntilClose(b)
	case stateChunkSize:
		return p.readChunkSize(b)
	case stateChunkData:
		if p.remaining == 0 {
			p.state = stateChunkEnd
			return p.readChunkEnd(b)
		}
		return p.readContent(b), nil
	case stateChunkEnd:
		return p.readChunkEnd(b)
	case stateTrailer:
		return p.readTrailerLine(b)
	case stateEnd:
		return p.endMessage(), nil
	}
	panic("http1: unknown state " + p.state.String())
}

// endMessage returns the element of kind End and prepares the parser for the next head.
func (p *Parser) endMessage() element {
	p.state = stateHead
	return element{kind: End}
}

// readContent consumes content of a known length, or of a chunk.
func (p *Parser) readContent(b []byte) element {
	n := int(min(int64(len(b)), p.remaining))
	if n == 0 {
		return element{}
	}
	p.remaining -= int64(n)
	return element{consumed: n, kind: Data}
}

// readUntilClose consumes content that ends with the connection.
func (p *Parser) readUntilClose(b []byte) (element, *Error) {
	p.contentSize += int64(len(b))
	if p.contentSize > p.limits.Body {
		return element{}, contentTooLong()
	}
	if len(b) == 0 {
		return element{}, nil
	}
	return element{consumed: len(b), kind: Data}, nil
}
