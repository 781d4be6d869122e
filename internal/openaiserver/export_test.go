package openaiserver

// FillBuffers makes the server's buffers appear full but for the given number of bytes, as slow uploads of other clients
// would. It returns a function that frees them again. Both run on the event loop and wait until it has run them.
func (s *Server) FillBuffers(free int64) (release func()) {
	var filled int64
	s.runOnLoop(func() {
		filled = maxBufferedBytes - free - s.bufferedBytes
		s.bufferedBytes += filled
	})
	return func() { s.runOnLoop(func() { s.bufferedBytes -= filled }) }
}

// runOnLoop runs a function on the event loop and waits until it returns.
func (s *Server) runOnLoop(fn func()) {
	ran := make(chan struct{})
	s.loop.Post(func() {
		fn()
		close(ran)
	})
	<-ran
}
