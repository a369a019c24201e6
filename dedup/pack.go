package dedup

import (
	"encoding/base64"
	"fmt"

	"github.com/ugorji/go/codec"

	"github.com/hibiscuscart/hibiscuscart/wire"
)

// claimEncoding encodes a claim as an array. The field names would take up
// most of the encoded size.
var claimEncoding = newClaimEncoding()

func newClaimEncoding() *codec.CborHandle {
	h := new(codec.CborHandle)
	h.StructToArray = true
	return h
}

// Pack returns claims in the encoding that shards store.
func Pack(claims []wire.Claim) (string, error) {
	var data []byte
	if err := codec.NewEncoderBytes(&data, claimEncoding).Encode(claims); err != nil {
		return "", fmt.Errorf("encode claims: %w", err)
	}
	return base64.StdEncoding.EncodeToString(data), nil
}

// Unpack decodes claims encoded by Pack.
func Unpack(packed string) ([]wire.Claim, error) {
	if packed == "" {
		return nil, nil
	}
	data, err := base64.StdEncoding.DecodeString(packed)
	if err != nil {
		return nil, fmt.Errorf("decode base64 of packed claims: %w", err)
	}
	var claims []wire.Claim
	if err := codec.NewDecoderBytes(data, claimEncoding).Decode(&claims); err != nil {
		return nil, fmt.Errorf("decode packed claims: %w", err)
	}
	return claims, nil
}
