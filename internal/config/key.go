package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyDomain separates key hashes from hashes of other data.
const keyDomain = "buckthornseam key v1\x00"

// KeyHashLen is the length of the stored form of a key in bytes.
const KeyHashLen = 2 * sha256.Size

// HashKey returns the stored form of a key: a hexadecimal SHA-256 sum. Keys are
// generated from 256 random bits, so an unsalted hash cannot be reversed by search.
func HashKey(key string) string {
	return string(AppendKeyHash(nil, key))
}

// stackKeyBytes is the space for a key in the stack buffer of AppendKeyHash.
const stackKeyBytes = 256 // a longer key needs an allocation

// AppendKeyHash appends the stored form of a key to dst.
func AppendKeyHash(dst []byte, key string) []byte {
	var buf [len(keyDomain) + stackKeyBytes]byte
	data := append(buf[:0], keyDomain...)
	data = append(data, key...)
	sum := sha256.Sum256(data)
	clear(data)
	return hex.AppendEncode(dst, sum[:])
}
