package http1

// caseBit is the bit that makes an ASCII letter lower case.
const caseBit = 0x20

// equalFold reports whether text equals lower, ignoring the case of ASCII letters. lower must be in
// lower case.
func equalFold(text []byte, lower string) bool {
	if len(text) != len(lower) {
		return false
	}
	for i, c := range text {
		if 'A' <= c && c <= 'Z' {
			c |= caseBit
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
	lower := c | caseBit
	switch {
	case isDigit(c):
		return int(c - '0')
	case 'a' <= lower && lower <= 'f':
		return int(lower-'a') + 10
	}
	return -1
}

// tokenChars is indexed by byte and true for the characters of a token (RFC 9110, section 5.6.2).
var tokenChars = func() (table [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[c] = true
	}
	return table
}()

// isToken reports whether text is a token, which has at least one character.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenChars[c] {
			return false
		}
	}
	return len(text) > 0
}

// deleteChar is the control character DEL, the only one above the printable ASCII characters.
const deleteChar = 0x7f

// hasControl reports whether text contains a control character other than the tab.
func hasControl(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == deleteChar {
			return true
		}
	}
	return false
}

// trimWhitespace returns text without leading and trailing spaces and tabs, or nil if nothing remains.
// Unlike bytes.Trim it does not build a set of characters for each call.
func trimWhitespace(text []byte) []byte {
	for len(text) > 0 && isWhitespace(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && isWhitespace(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	if len(text) == 0 {
		return nil
	}
	return text
}

func isWhitespace(c byte) bool { return c == ' ' || c == '\t' }
