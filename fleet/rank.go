package fleet

// Services holds the names of the services of the configuration in force. It is nil
// before the first configuration, when every service counts as named.
type Services map[string]bool

// Name reports whether the configuration names a service.
func (s Services) Name(service string) bool { return s == nil || s[service] }

// Outranks reports whether an incarnation takes precedence over another one that has the
// same id or the same address. Those of a service that the configuration names come
// before all others, and then the later start decides. An agent that still announces a
// machine under its former service, with a later start, would otherwise take a healthy
// upstream out of use, and direct requests of one service to an upstream of another.
func (s Services) Outranks(u, other Upstream) bool {
	if named := s.Name(u.Service); named != s.Name(other.Service) {
		return named
	}
	return u.StartMS > other.StartMS
}
