package eventloop

// Handler receives the events of a connection. It is called on the loop, and never during a call of
// Dial. From any of its methods it may call any method of the connection, also to close it.
type Handler interface {
	// Opened is called once on a connection of Dial, when it is established. It is not called on
	// accepted connections.
	Opened(c *Conn)
	// Data receives all bytes that have arrived and were not consumed before. It returns how many it
	// consumes. The rest is passed again, with the bytes that follow. The slice is valid during the
	// call only.
	Data(c *Conn, b []byte) int
	// EOF is called when the peer has ended its half. Output can still be written. If reading is
	// paused, EOF is called while bytes are unread, and again after Resume has delivered them.
	EOF(c *Conn)
	// Writable is called when unsent output has fallen to the low-water mark after it had reached the
	// high-water mark.
	Writable(c *Conn)
	// Closed is the last call. err is what closed the connection. It is not called if this side closed
	// it, by a method such as Close, Abort or Reset.
	Closed(c *Conn, err error)
}

// discard is the handler of a connection on which Close was called.
type discard struct{}

// Opened implements Handler. Close has scheduled what follows.
func (discard) Opened(*Conn) {}

// Data implements Handler. It consumes and discards all input.
func (discard) Data(_ *Conn, b []byte) int { return len(b) }

// EOF implements Handler. A lingering close notices it by itself.
func (discard) EOF(*Conn) {}

// Writable implements Handler. There is no source of output to resume.
func (discard) Writable(*Conn) {}

// Closed implements Handler. The owner closed the connection and needs no notice.
func (discard) Closed(*Conn, error) {}
