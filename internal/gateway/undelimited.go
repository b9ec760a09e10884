package gateway

// guardUndelimited has the connection reset unless the response is completed, if its end is that of the connection:
// HTTP/1.0 has no chunks. It must be called before the head of a response without a length is sent.
func (x *exchange) guardUndelimited() {
	if !x.r.ProtoAtLeast(1, 1) {
		x.conn.ResetAtEnd(true)
	}
}

// endResponse records that a response without a length is complete.
func (x *exchange) endResponse() {
	if !x.r.ProtoAtLeast(1, 1) {
		x.conn.ResetAtEnd(false)
	}
}
