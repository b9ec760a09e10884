package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// The methods of the handshake. Both sides prove that they know the shared secret
// without sending it. Each proof covers both nonces, both IDs and the role of the
// side, so that it cannot be replayed or reflected.
const (
	methodHello = "peer.hello"
	methodProve = "peer.prove"
)

// nonceBytes is the size of a handshake nonce.
const nonceBytes = 16

type helloParams struct {
	ID    ID     `json:"id"`
	Nonce string `json:"nonce"`
}

type helloResult struct {
	ID    ID     `json:"id"`
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

type proveParams struct {
	Proof string `json:"proof"`
}

// HandshakeError reports a failed handshake, or a call before it was completed.
type HandshakeError struct {
	Reason string
}

func (e *HandshakeError) Error() string { return "peer handshake failed: " + e.Reason }

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never fails, see crypto/rand
	return hex.EncodeToString(b)
}

// proof returns the HMAC with which one side of the handshake proves that it knows
// the secret. Role is "caller" for the client's side and "answerer" for the server's.
func proof(secret, role string, caller, answerer helloParams) string {
	mac := hmac.New(sha256.New, []byte(secret))
	fmt.Fprintf(mac, "%s\x00%s\x00%s\x00%s\x00%s", role, caller.ID, caller.Nonce, answerer.ID, answerer.Nonce)
	return hex.EncodeToString(mac.Sum(nil))
}

func sameProof(a, b string) bool {
	return hmac.Equal([]byte(a), []byte(b))
}
