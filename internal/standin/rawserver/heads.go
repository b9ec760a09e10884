package rawserver

// InvalidStatuses are beginnings of heads, after the version, of responses whose status is none that a response may have.
var InvalidStatuses = []string{
	"000 No", "001 No", "099 No", "-00 No", "+20 OK", "020 OK", "0200 OK", "1000 OK", "", "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other", "600 No", "999 No",
}

// InvalidFields are beginnings of heads, after the version, with a field whose name or value is none.
var InvalidFields = []string{
	"200 OK\r\nX Y: a", "200 OK\r\nX : a", "200 OK\r\nContent-Type : text/plain", "200 OK\r\nContent-Length : 7", "200 OK\r\nTransfer-Encoding : chunked",
	"200 OK\r\nX\x01: a", "200 OK\r\nX\x00Y: a", "200 OK\r\nX\x0b: a", "200 OK\r\nX\x7f: a", "200 OK\r\nX\t: a", "200 OK\r\nX\rY: a",
	"200 OK\r\n: a", "200 OK\r\n X: a", "200 OK\r\nX(Y): a", "200 OK\r\nX\xe9: a", "200 OK\r\nX",
	"200 OK\r\nX: a\x01", "200 OK\r\nX: \x00", "200 OK\r\nX: a\x7f", "200 OK\r\nX: a\rY: b", "200 OK\r\nX: a\r\n b\x01",
}

// OddHeads are odd beginnings of valid heads with status 200.
var OddHeads = []string{
	"200", "200 ", "200 \x80 odd",
	"200 OK\r\n!#$%&'*+-.^_|~`09az: a", "200 OK\r\nx-lower: a", "200 OK\r\nX:", "200 OK\r\nX:a", "200 OK\r\nX: a\r\nX: b", "200 OK\r\nX: a\r\n b",
	"200 OK\r\nX: \ta\tb \xe9 \t", "200 OK\r\nX: a : b", "200 OK\nX: a",
}
