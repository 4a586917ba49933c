package resp

import "strconv"

// AppendArray appends the header of an array of count values.
func AppendArray(buf []byte, count int) []byte { return appendLength(buf, arrayPrefix, count) }

// AppendBulk appends a bulk string.
func AppendBulk[T ~string | ~[]byte](buf []byte, value T) []byte {
	buf = appendLength(buf, bulkPrefix, len(value))
	buf = append(buf, value...)
	return append(buf, '\r', '\n')
}

// AppendError appends an error line. Bytes other than printable ASCII are dropped.
func AppendError(buf []byte, text string) []byte {
	buf = append(buf, errorPrefix)
	for _, char := range []byte(text) {
		if char >= ' ' && char < 127 {
			buf = append(buf, char)
		}
	}
	return append(buf, '\r', '\n')
}

func appendLength(buf []byte, prefix byte, length int) []byte {
	buf = strconv.AppendInt(append(buf, prefix), int64(length), 10)
	return append(buf, '\r', '\n')
}
