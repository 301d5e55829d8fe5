package recordfile

import "hash/crc32"

// VersionDigits is the number of digits of the format version after the magic word of a file.
const VersionDigits = 2

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of the concatenated parts.
func Checksum(parts ...[]byte) uint32 {
	sum := uint32(0)
	for _, part := range parts {
		sum = crc32.Update(sum, castagnoli, part)
	}
	return sum
}

// Version returns the version digits of a file that begins with the magic word, or false for any other file.
func Version(content []byte, magic string) (digits string, ok bool) {
	size := len(magic) + VersionDigits
	if len(content) < size || string(content[:len(magic)]) != magic {
		return "", false
	}
	return string(content[len(magic):size]), true
}

// CompleteFollows reports whether a complete record begins anywhere behind the first byte of rest. If so, the record at the
// start of rest is damaged, not torn. minSize is the size of the smallest record; complete reports whether its argument
// begins with a complete record.
func CompleteFollows(rest []byte, minSize int, complete func(b []byte) bool) bool {
	for at := 1; at+minSize <= len(rest); at++ {
		if complete(rest[at:]) {
			return true
		}
	}
	return false
}
