package simwire

// record codes the part of a record after its code: the router and the fields. It returns the content. When
// reading it starts from the zero T. When writing the content is a T, since the record's code says so.
func record[T any](c *coder, router *uint16, content any, fields func(*coder, *T)) T {
	value, _ := content.(T) // none when reading
	integer(c, router)
	fields(c, &value)
	return value
}
