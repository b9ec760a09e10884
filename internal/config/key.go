package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyDomain separates key hashes from hashes of other data.
const keyDomain = "buckthornseam key v1\x00"

// KeyHashLen is the length of the stored form of a key in bytes.
const KeyHashLen = 2 * sha256.Size

// HashKey returns the stored form of a key: a hexadecimal SHA-256 sum. Keys
// are generated with 256 random bits, so an unsalted hash cannot be searched.
func HashKey(key string) string {
	return string(AppendKeyHash(nil, key))
}

// inlineKey is the length of keys that are hashed without an allocation.
const inlineKey = 256 // bytes

// AppendKeyHash appends the stored form of a key to dst.
func AppendKeyHash(dst []byte, key string) []byte {
	var buf [len(keyDomain) + inlineKey]byte
	data := append(buf[:0], keyDomain...)
	data = append(data, key...)
	sum := sha256.Sum256(data)
	clear(data)
	return hex.AppendEncode(dst, sum[:])
}
