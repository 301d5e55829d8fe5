package schema

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// findUnparsable returns the offset and description of the first thing that must not reach the parser: nesting deeper than
// maxDepth, because the parser is recursive, and bytes that are not valid text. The description is "" if there is none.
func findUnparsable(text []byte, maxDepth int) (offset int, message string) {
	if bytes.HasPrefix(text, []byte("\xef\xbb\xbf")) {
		return 0, "begins with a byte-order mark; save it as UTF-8 without one"
	}
	depth := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			if r, n := utf8.DecodeRune(text[i:]); r != utf8.RuneError || n > 1 {
				i += n
				continue
			}
			return i, "is not UTF-8"
		}
		switch {
		case c == '"': // skips the string
			for i++; i < len(text) && text[i] != '"' && text[i] != '\n'; i++ {
				if text[i] == '\\' {
					i++
				}
				if i < len(text) && text[i] >= utf8.RuneSelf {
					r, n := utf8.DecodeRune(text[i:])
					if r == utf8.RuneError && n <= 1 {
						return i, "is not UTF-8"
					}
					i += n - 1
				}
			}
		case c == '/' && i+1 < len(text) && text[i+1] == '/':
			for i < len(text) && text[i] != '\n' {
				i++
			}
			continue
		case c == '/' && i+1 < len(text) && text[i+1] == '*':
			if end := bytes.Index(text[i+2:], []byte("*/")); end >= 0 {
				i += 2 + end + 1
			}
		case c == '{' || c == '[':
			if depth++; depth > maxDepth {
				return i, fmt.Sprintf("nested deeper than %d", maxDepth)
			}
		case c == '}' || c == ']':
			depth--
		case c == 0:
			return i, "holds a zero byte"
		}
		i++
	}
	return 0, ""
}
