package msgpackrpc

// Lead bytes of MessagePack values. In the short ("fix") forms the number, length or count is part of the lead byte. In the
// other forms it follows the lead byte, with the number of bits given in the name.
const (
	codeFixMap         = 0x80
	codeFixArray       = 0x90
	codeFixText        = 0xa0
	codeNil            = 0xc0
	codeFalse          = 0xc2
	codeTrue           = 0xc3
	codeBinary8        = 0xc4
	codeBinary32       = 0xc6
	codeExtension8     = 0xc7
	codeExtension32    = 0xc9
	codeFloat32        = 0xca
	codeFloat64        = 0xcb
	codeUint8          = 0xcc
	codeUint32         = 0xce
	codeUint64         = 0xcf
	codeInt8           = 0xd0
	codeInt64          = 0xd3
	codeFixExtension1  = 0xd4
	codeFixExtension16 = 0xd8
	codeText8          = 0xd9
	codeText16         = 0xda
	codeText32         = 0xdb
	codeArray16        = 0xdc
	codeArray32        = 0xdd
	codeMap16          = 0xde
	codeMap32          = 0xdf
	codeNegativeFixInt = 0xe0
)

// Limits and masks of the short forms.
const (
	maxFixInt      = 0x7f
	fixCountMask   = 0x0f // of maps and arrays
	fixTextLenMask = 0x1f
	maxFixTextLen  = fixTextLenMask
)
