// Package dialer translates the addresses that a host connects to. A host that
// reaches another data centre only at translated addresses lists them in its own
// settings, so that the configuration and the host list are the same on all hosts.
package dialer

// Map maps addresses of the form "IP:port" to the addresses to connect to. A nil
// Map translates nothing.
type Map map[string]string

// Resolve returns the address to connect to, which is address itself unless the map
// has an entry for it.
func (m Map) Resolve(address string) string {
	if translated, ok := m[address]; ok {
		return translated
	}
	return address
}
