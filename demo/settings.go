package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/hibiscuscart/hibiscuscart/conf"
)

// siteSettingsFormat is the format of the settings file of a VM.
const siteSettingsFormat = `
[vm]
name = vm-%d
failure_domain = domain-%d
listen = %s
ready_listen = %s
peer_listen = %s
[store]
address = %s
wait = 200ms
[limits]
threads = 8
[steering]
handover = 300ms
lease = 600ms
[retries]
share = 1
extra = 1000
window = 100ms
[quotas]
window = 2s
slack = 20
[drain]
grace = 5s
notice = 50ms
`

const (
	// firstPort and portCount define the range of ports on which VMs listen. It is below the
	// kernel's ephemeral ports: an outgoing connection could otherwise occupy a port between the
	// check in freePort and the start of the VM.
	firstPort       = 12_000
	portCount       = 18_000
	maxPortAttempts = 50
)

// reservedPorts holds a UDP socket for every address that freePort has returned, until the process ends. It
// keeps the address from VMs of this and other processes until its VM listens, and while the VM is restarted. It is
// on another loopback address, as VMs take datagrams too.
var reservedPorts sync.Map

// reservationHost is the loopback address of the sockets in reservedPorts.
const reservationHost = "127.0.1.1"

// freePort returns a loopback address on which nothing currently listens. It returns each address
// at most once per process.
func freePort() (string, error) {
	for range maxPortAttempts {
		port := firstPort + rand.IntN(portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		reservation, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", reservationHost, port))
		if err != nil {
			continue
		}
		if err := checkFree(port); err != nil {
			_ = reservation.Close()
			continue
		}
		reservedPorts.Store(address, reservation)
		return address, nil
	}
	return "", fmt.Errorf("find a port for a VM: no free port from %d on", firstPort)
}

// checkFree returns an error if a socket keeps a VM from listening on a port of 127.0.0.1. It binds a socket without
// listening: a process that starts meanwhile inherits the socket and holds it until it runs its program. That may be
// after the VM has started, which a listening socket would keep from its port.
func checkFree(port int) error {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("open socket: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("set reuse of addresses: %w", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	return nil
}

// VMSettings returns the settings file of the i-th VM of a Site with the store at storeAddress. The
// VM listens on ports that are currently free.
func VMSettings(i int, storeAddress string) ([]byte, error) {
	var addresses [3]string
	for k := range addresses {
		var err error
		if addresses[k], err = freePort(); err != nil {
			return nil, err
		}
	}
	return fmt.Appendf(nil, siteSettingsFormat, i, i%siteDefaultCount, addresses[0], addresses[1], addresses[2], storeAddress), nil
}

// ListenAddress returns the caller-facing address in the settings file of a VM.
func ListenAddress(text []byte) (string, error) {
	settings, err := conf.ParseNode(text)
	if err != nil {
		return "", fmt.Errorf("parse settings of a VM: %w", err)
	}
	return settings.Text("vm", "listen"), nil
}

// PeerAddress returns the address for other VMs in the settings file of a VM.
func PeerAddress(text []byte) (string, error) {
	settings, err := conf.ParseNode(text)
	if err != nil {
		return "", fmt.Errorf("parse settings of a VM: %w", err)
	}
	return settings.Text("vm", "peer_listen"), nil
}
