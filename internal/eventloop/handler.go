package eventloop

// Handler receives the events of a connection. Its methods are called on the loop, and never during a
// call of Dial. They may call any method of the connection, including those that close it.
type Handler interface {
	// Opened is called once when a connection of Dial is established. It is not called for accepted
	// connections.
	Opened(c *Conn)
	// Data receives the bytes that have arrived and are not yet consumed, and returns how many of them
	// it consumes. The rest is passed again together with later bytes. The slice is valid only during
	// the call.
	Data(c *Conn, b []byte) int
	// EOF is called when the peer has closed its sending half. Output can still be written. If reading
	// is paused, EOF is called at once, although bytes may be unread, and again after Resume has
	// delivered them. After Conn.DeliverBeforeReset, EOF may also be called at a reset.
	EOF(c *Conn)
	// Writable is called when unsent output has reached the high-water mark and then fallen to the
	// low-water mark.
	Writable(c *Conn)
	// Closed is the last call. err is the reason. It is not called if this side closed the connection
	// with a method such as Close, Abort or Reset.
	Closed(c *Conn, err error)
}

// discard is the handler of a connection on which Close was called.
type discard struct{}

// Opened implements Handler. The close continues at the end of the iteration.
func (discard) Opened(*Conn) {}

// Data implements Handler. It consumes and discards all input.
func (discard) Data(_ *Conn, b []byte) int { return len(b) }

// EOF implements Handler. A lingering close checks for it in continueClose.
func (discard) EOF(*Conn) {}

// Writable implements Handler. There is no writer to resume.
func (discard) Writable(*Conn) {}

// Closed implements Handler. The owner has closed the connection itself and needs no call.
func (discard) Closed(*Conn, error) {}
