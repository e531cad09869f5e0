package rawhttp

import (
	"fmt"
	"strings"
)

// okLine is the status line of a success.
const okLine = "HTTP/1.1 200 OK\r\n"

// Broken returns answers that no client may take for one, by what is wrong with them.
// fields are lines of the head, each with its end; body is that of the answer.
func Broken(fields, body string) map[string]Answer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	head := okLine + fields
	sound := head + length + "\r\n" + body
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	half := body[:len(body)/2]
	return map[string]Answer{
		"status 000":                         {Text: strings.Replace(sound, "200 OK", "000 ?", 1), WholeRequest: true},
		"name with a blank":                  {Text: head + "X Odd: 1\r\n" + length + "\r\n" + body, WholeRequest: true},
		"blank after a name":                 {Text: head + "X-Odd : 1\r\n" + length + "\r\n" + body, WholeRequest: true},
		"blank after the name of the length": {Text: head + strings.Replace(length, ":", " :", 1) + "\r\n" + body, WholeRequest: true},
		"blank after the name of the coding": {Text: head + "Transfer-Encoding : chunked\r\n\r\n" + chunks, WholeRequest: true},
		"coding of HTTP/1.0":                 {Text: strings.Replace(head, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunks, WholeRequest: true},
		"coding of HTTP/1.0, kept":           {Text: strings.Replace(head, "1.1", "1.0", 1) + "Connection: keep-alive\r\ntransfer-encoding: chunked\r\n" + length + "\r\n" + body, WholeRequest: true, End: Keep},
		"blank in a name, kept connection":   {Text: head + "X Odd: 1\r\n" + length + "\r\n" + body, WholeRequest: true, End: Keep},
		"name of an interim head":            {Text: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sound, WholeRequest: true},
		"tab in a name":                      {Text: head + "X\tOdd: 1\r\n" + length + "\r\n" + body, WholeRequest: true},
		"control byte in a name":             {Text: head + "X-\x01: 1\r\n" + length + "\r\n" + body, WholeRequest: true},
		"cut within its head":                {Text: head + "X-Odd: ", WholeRequest: true},
		"cut within its length":              {Text: head + length + "\r\n" + half, WholeRequest: true},
		"cut within its chunks":              {Text: head + "Transfer-Encoding: chunked\r\n\r\n" + chunks[:len(chunks)-5], WholeRequest: true},
		"reset after the request":            {Text: head + "\r\n" + half, WholeRequest: true, End: Reset},
		"reset amid the request":             {Text: head + "\r\n" + half, End: Reset},
		"reset amid the request, closes":     {Text: head + "Connection: close\r\n\r\n" + half, End: Reset},
		"reset amid the request, HTTP/1.0":   {Text: strings.Replace(head, "1.1", "1.0", 1) + "\r\n" + half, End: Reset},
		"reset amid the request, empty":      {Text: head + "\r\n", End: Reset},
	}
}

// Sound returns answers of like shape that are whole, by what is special about them.
func Sound(fields, body string) map[string]Answer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	head := okLine + fields
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	return map[string]Answer{
		"length":                         {Text: head + length + "\r\n" + body, WholeRequest: true, End: Keep},
		"ends with the connection":       {Text: head + "\r\n" + body, WholeRequest: true},
		"HTTP/1.0":                       {Text: strings.Replace(head, "1.1", "1.0", 1) + "\r\n" + body, WholeRequest: true},
		"chunks":                         {Text: head + chunked + "\r\n", WholeRequest: true, End: Keep},
		"chunks with a trailer":          {Text: head + chunked + "X-Sum: 1\r\n\r\n", WholeRequest: true, End: Keep},
		"name of all bytes of a token":   {Text: head + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + length + "\r\n" + body, WholeRequest: true, End: Keep},
		"value with blanks and obs-text": {Text: head + "X-Odd:\ta b\tcaf\xe9 \r\n" + length + "\r\n" + body, WholeRequest: true, End: Keep},
		"folded value":                   {Text: head + "X-Odd: a\r\n  b : c\r\n" + length + "\r\n" + body, WholeRequest: true, End: Keep},
	}
}
