package origin

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

const (
	// maxDatagramBytes is more than any datagram of this package has.
	maxDatagramBytes = 1200
	// macBytes is the length of the proof, ahead of the frame, that the sender knows the fleet's key.
	macBytes = 16
)

// seal returns a datagram with a frame.
func seal(key string, frame *wire.OriginDatagram) ([]byte, error) {
	data, err := link.Marshal(frame)
	if err != nil {
		return nil, fmt.Errorf("seal datagram: %w", err)
	}
	return append(proof(key, data), data...), nil
}

// open returns the frame of a datagram that was sealed with one of the keys, and that key. Datagrams of anybody else are
// not read: a forged origin would send a stream to the wrong version.
func open(keys []string, datagram []byte) (frame *wire.OriginDatagram, key string, err error) {
	if len(datagram) < macBytes {
		return nil, "", trace.BadParameter("datagram is too short")
	}
	mac, data := datagram[:macBytes], datagram[macBytes:]
	for _, k := range keys {
		if k != "" && hmac.Equal(mac, proof(k, data)) {
			key = k
		}
	}
	if key == "" {
		return nil, "", trace.AccessDenied("datagram is not sealed with the fleet's key")
	}
	frame = new(wire.OriginDatagram)
	if err := link.Unmarshal(data, frame); err != nil {
		return nil, "", fmt.Errorf("read datagram: %w", err)
	}
	return frame, key, nil
}

func proof(key string, data []byte) []byte {
	h := hmac.New(sha256.New, []byte(key))
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}
