package directory

import (
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/core/team"
	"github.com/radishhoist/radishhoist/record"
)

// Records is the compiled record set, the part of a Directory that changes
// only when an operator writes.
type Records struct {
	routes   *route.Table
	services []*Service
	teams    map[string]*record.Team
	keys     *team.Index
	// requireKeys says that callers show a team's key.
	requireKeys bool
	stops       []*record.Stop
	maps        map[string]*ShardMap
	limits      record.Limits
	// configurations are the versions of the Configuration records by name.
	configurations map[string]int64
	whole          bool
}

// Compile turns parsed records into their lookup form.
func Compile(all []*record.Record, whole bool) *Records {
	return (&Records{}).Recompile(all, whole)
}

// Recompile is Compile with the parts of an earlier compilation that still hold.
func (r *Records) Recompile(all []*record.Record, whole bool) *Records {
	out := &Records{
		teams: make(map[string]*record.Team),
		maps:  make(map[string]*ShardMap),
		whole: whole,

		configurations: make(map[string]int64),
	}
	var routes []*route.Route
	for _, one := range all {
		switch spec := one.Spec.(type) {
		case *record.Service:
			out.services = append(out.services, &Service{Name: one.Name, Version: one.Version, Record: spec})
		case *record.Route:
			routes = append(routes, &route.Route{Name: one.Name, Version: one.Version, Route: *spec})
		case *record.Configuration:
			routes = append(routes, out.addConfiguration(one, spec)...)
		case *record.Team:
			out.teams[one.Name] = spec
		case *record.Stop:
			out.stops = append(out.stops, spec)
		case *record.ShardMap:
			out.maps[one.Name] = &ShardMap{Version: one.Version, ShardMap: spec}
		}
	}
	out.routes = route.NewTable(routes)
	out.keys = r.keys.With(out.teams)
	out.requireKeys = out.requireKeys || out.keys.Len() > 0
	return out
}

// addConfiguration takes the services, teams and limits of one Configuration and gives
// its routes; all have the record's version.
func (r *Records) addConfiguration(from *record.Record, c *record.Configuration) []*route.Route {
	r.configurations[from.Name] = from.Version
	for i := range c.Services {
		s := &c.Services[i]
		r.services = append(r.services, &Service{Name: s.Name, Version: from.Version, Record: &s.Service})
	}
	for i := range c.Teams {
		r.teams[c.Teams[i].Name] = &c.Teams[i].Team
	}
	r.requireKeys = r.requireKeys || c.RequireKeys
	if c.Limits != nil {
		r.limits = *c.Limits
	}
	routes := make([]*route.Route, 0, len(c.Routes))
	for _, named := range c.Routes {
		routes = append(routes, &route.Route{Name: named.Name, Version: from.Version, Route: named.Route})
	}
	return routes
}
