package simwire

// recordBody encodes or decodes the part of a record that follows its code: the router and the fields. It
// returns the body. When decoding, it ignores the parameter body. When encoding, body must be a T, the type
// that belongs to the record's code.
func recordBody[T any](c *codec, router *uint16, body any, fields func(*codec, *T)) T {
	value, _ := body.(T) // the zero T when decoding
	integer(c, router)
	fields(c, &value)
	return value
}
