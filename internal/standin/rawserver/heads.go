package rawserver

// InvalidStatuses are beginnings of heads, after the version, of responses whose status is none that a response may have.
var InvalidStatuses = []string{
	"000 No", "001 No", "099 No", "-00 No", "+20 OK", "020 OK", "0200 OK", "1000 OK", "", "101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other", "600 No", "999 No",
}

// OddHeads are odd beginnings of valid heads with status 200.
var OddHeads = []string{"200", "200 ", "200 \x80 odd"}
