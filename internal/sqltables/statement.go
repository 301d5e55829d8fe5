// Package sqltables determines which group of tables an SQL statement works on.
package sqltables

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

var (
	// tableKeywords are the keywords that a table name follows.
	tableKeywords = []string{"from", "join", "into", "update", "table", "using", "overwrite", "copy"}
	// fillerKeywords may occur between a table keyword and the table name.
	fillerKeywords = []string{"only", "lateral", "if", "not", "exists", "table", "overwrite", "into"}
)

// TableGroup returns the number of the group of tables that an SQL statement reads or writes: the number after the last
// underscore in the name of their schema, such as 17 in sales_17.orders. It returns 0 if it finds none. Strings, comments and
// the schema staging are ignored. If no schema with a number is found after a table keyword, the first qualified name whose
// first part has a number is used.
func TableGroup(text []byte) uint32 {
	l := lexer{rest: text}
	// tableExpected is true if the next name is a table, inTableList if another table follows a comma.
	fallback, tableExpected, inTableList := uint32(0), false, false
	for tok := l.next(); tok != "" || l.name; tok = l.next() {
		switch {
		case l.name:
			parts := []string{tok}
			for l.skipDot() {
				parts = append(parts, l.next())
			}
			if len(parts) > 1 {
				group := schemaNumber(parts[len(parts)-2])
				if tableExpected && group > 0 {
					return group
				}
				if fallback == 0 {
					fallback = schemaNumber(parts[0])
				}
				inTableList, tableExpected = tableExpected, false
				continue
			}
			word := strings.ToLower(tok)
			switch {
			case l.quoted:
				inTableList, tableExpected = inTableList || tableExpected, false
			case slices.Contains(tableKeywords, word):
				tableExpected, inTableList = true, false
			case tableExpected && slices.Contains(fillerKeywords, word):
			default: // a table without a schema, an alias or some other word
				inTableList, tableExpected = inTableList || tableExpected, false
			}
		case tok == ",":
			tableExpected = inTableList
		default:
			tableExpected, inTableList = false, false
		}
	}
	return fallback
}

// schemaNumber returns the number after the last underscore in a schema's name, or 0 if there is none.
func schemaNumber(schema string) uint32 {
	if strings.EqualFold(schema, "staging") {
		return 0
	}
	n, err := strconv.ParseUint(schema[strings.LastIndexByte(schema, '_')+1:], 10, 32)
	if err != nil || !strings.Contains(schema, "_") {
		return 0
	}
	return uint32(n)
}

// lexer splits a statement into names and single characters.
type lexer struct {
	rest         []byte
	name, quoted bool // whether the latest token is a name, and whether it was quoted
}

// next returns the next token, or "" at the end. A string literal is returned as a single quote. An empty quoted name is also
// "", but sets l.name.
func (l *lexer) next() string {
	l.name, l.quoted = false, false
	l.skipSpace()
	if len(l.rest) == 0 {
		return ""
	}
	switch c := l.rest[0]; {
	case c == '"' || c == '`':
		l.name, l.quoted = true, true
		return l.quotedText(c)
	case c == '\'':
		l.quotedText(c)
		return "'"
	case isNameByte(c):
		l.name = true
		return l.takeWhile(isNameByte)
	default:
		l.rest = l.rest[1:]
		return string(c)
	}
}

// skipDot skips a dot that joins two names, and reports whether there was one.
func (l *lexer) skipDot() bool {
	l.skipSpace()
	if len(l.rest) == 0 || l.rest[0] != '.' {
		return false
	}
	l.rest = l.rest[1:]
	return true
}

// skipSpace skips white space and comments. Comments in /* */ do not nest.
func (l *lexer) skipSpace() {
	for len(l.rest) > 0 {
		switch {
		case bytes.IndexByte([]byte(" \t\r\n\f\v"), l.rest[0]) >= 0:
			l.rest = l.rest[1:]
		case bytes.HasPrefix(l.rest, []byte("--")):
			l.skip(bytes.IndexByte(l.rest, '\n'), 1)
		case bytes.HasPrefix(l.rest, []byte("/*")):
			l.skip(bytes.Index(l.rest[2:], []byte("*/")), 4)
		default:
			return
		}
	}
}

// skip skips the first index+extra bytes, or all of the rest if index is negative.
func (l *lexer) skip(index, extra int) {
	if index < 0 {
		l.rest = nil
		return
	}
	l.rest = l.rest[index+extra:]
}

// quotedText consumes a quoted text and returns it without the quotes. Inside it, a quote is written twice.
func (l *lexer) quotedText(quote byte) string {
	var text []byte
	for l.rest = l.rest[1:]; len(l.rest) > 0; l.rest = l.rest[1:] {
		if l.rest[0] != quote {
			text = append(text, l.rest[0])
			continue
		}
		l.rest = l.rest[1:]
		if len(l.rest) == 0 || l.rest[0] != quote {
			break
		}
		text = append(text, quote)
	}
	return string(text)
}

// takeWhile consumes and returns the bytes up to the first one for which accept returns false.
func (l *lexer) takeWhile(accept func(byte) bool) string {
	n := 0
	for n < len(l.rest) && accept(l.rest[n]) {
		n++
	}
	word := string(l.rest[:n])
	l.rest = l.rest[n:]
	return word
}

// isNameByte reports whether c may occur in an unquoted name.
func isNameByte(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z'
}
