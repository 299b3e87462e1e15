package record

import "strconv"

// Configuration is a complete set of routes, services and teams that is applied
// atomically, under one version. It replaces the previous Configuration: entries
// that it no longer lists are removed. It coexists with Service and Route records:
// a route in either may refer to a service in the other.
type Configuration struct {
	// Label is an optional name that the author gives to this version of the set. Labels
	// that are whole numbers must increase: see Supersedes.
	Label    string         `json:"label,omitempty"`
	Routes   []NamedRoute   `json:"routes"`
	Services []NamedService `json:"services"`
	// Teams are the groups of callers, in addition to Team records.
	Teams []NamedTeam `json:"teams,omitempty"`
	// RequireKeys rejects requests without a valid team key, except on open routes,
	// even if no team has a key.
	RequireKeys bool `json:"requireKeys,omitempty"`
	// Limits restricts what a caller may send; nil means that the daemon's settings apply.
	Limits *Limits `json:"limits,omitempty"`
}

// NamedRoute is one route of a Configuration.
type NamedRoute struct {
	Name string `json:"name"`
	Route
}

// NamedService is one service of a Configuration.
type NamedService struct {
	Name string `json:"name"`
	Service
}

// NamedTeam is one team of a Configuration.
type NamedTeam struct {
	Name string `json:"name"`
	Team
}

// Limits restricts what a caller may send and how long it may take. Where a limit is
// 0, the daemon's setting applies.
type Limits struct {
	// MaxHeaderBytes is the largest request header, in bytes.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// HeaderTimeoutMS is the time a caller has to send a request header, in milliseconds.
	HeaderTimeoutMS int `json:"headerTimeoutMS,omitempty"`
	// IdleTimeoutMS is how long an idle connection is kept, in milliseconds.
	IdleTimeoutMS int `json:"idleTimeoutMS,omitempty"`
}

const (
	maxLimitBytes = 1 << 40
	maxLimitMS    = 86400000 // 24 hours
)

func (c *Configuration) validate(f *fieldErrors) {
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" || services[s.Name] {
			f.add(entryPath("services", i, s.Name), "has a missing or duplicate name", "give each service a unique name")
		}
		services[s.Name] = true
		f.addNested(entryPath("services", i, s.Name), &s.Service)
	}
	routes := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Name == "" || routes[r.Name] {
			f.add(entryPath("routes", i, r.Name), "has a missing or duplicate name", "give each route a unique name")
		}
		routes[r.Name] = true
		f.addNested(entryPath("routes", i, r.Name), &r.Route)
	}
	c.validateTeams(f)
	if c.Limits == nil {
		return
	}
	f.checkRange("limits.maxHeaderBytes", c.Limits.MaxHeaderBytes, 0, maxLimitBytes)
	f.checkRange("limits.maxBodyBytes", int(c.Limits.MaxBodyBytes), 0, maxLimitBytes)
	f.checkRange("limits.headerTimeoutMS", c.Limits.HeaderTimeoutMS, 0, maxLimitMS)
	f.checkRange("limits.idleTimeoutMS", c.Limits.IdleTimeoutMS, 0, maxLimitMS)
}

// validateTeams checks each team, and that no key belongs to more than one.
func (c *Configuration) validateTeams(f *fieldErrors) {
	teams := make(map[string]bool, len(c.Teams))
	teamByHash := make(map[string]string)
	for i := range c.Teams {
		t := &c.Teams[i]
		path := entryPath("teams", i, t.Name)
		if t.Name == "" || len(t.Name) > maxNameBytes || teams[t.Name] {
			f.add(path, "has a missing, overlong or duplicate name", "give each team a unique name of 1 to "+strconv.Itoa(maxNameBytes)+" bytes")
		}
		teams[t.Name] = true
		f.addNested(path, &t.Team)
		for _, h := range t.KeyHashes {
			if other, ok := teamByHash[h]; ok && other != t.Name {
				f.add(path+".keyHashes", "has a key that team "+other+" also has", "remove the key from one of the two teams and give that team another")
			}
			teamByHash[h] = t.Name
		}
	}
}

// entryPath returns the field path of one list entry: by name, or by index if it has no
// name.
func entryPath(list string, i int, name string) string {
	if name == "" {
		name = strconv.Itoa(i)
	}
	return list + "[" + name + "]"
}

// addNested validates a nested spec and adds its errors, with path prepended to their fields.
func (f *fieldErrors) addNested(path string, s Spec) {
	var nested fieldErrors
	s.validate(&nested)
	for _, e := range nested.list {
		f.add(path+"."+e.Field, e.Problem, e.Remedy)
	}
}
