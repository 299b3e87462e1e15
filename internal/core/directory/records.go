package directory

import (
	"github.com/radishhoist/radishhoist/internal/core/route"
	"github.com/radishhoist/radishhoist/internal/core/team"
	"github.com/radishhoist/radishhoist/record"
)

// Records is the compiled record set: the part of a Directory that changes only when an
// operator writes records.
type Records struct {
	routes   *route.Table
	services []*Service
	teams    map[string]*record.Team
	teamKeys *team.Index
	// requireKeys reports whether callers must present a team's key.
	requireKeys  bool
	plannedStops []*record.Stop
	shardMaps    map[string]*ShardMap
	limits       record.Limits
	// configurations holds the versions of the Configuration records by name.
	configurations map[string]int64
	complete       bool
}

// Compile compiles parsed records for lookup. complete reports whether the record set is
// complete.
func Compile(parsed []*record.Record, complete bool) *Records {
	return (&Records{}).Recompile(parsed, complete)
}

// Recompile is like Compile, but reuses the parts of r that are still valid.
func (r *Records) Recompile(parsed []*record.Record, complete bool) *Records {
	out := &Records{
		teams:     make(map[string]*record.Team),
		shardMaps: make(map[string]*ShardMap),
		complete:  complete,

		configurations: make(map[string]int64),
	}
	var routes []*route.Route
	for _, rec := range parsed {
		switch spec := rec.Spec.(type) {
		case *record.Service:
			out.services = append(out.services, &Service{Name: rec.Name, Version: rec.Version, Record: spec})
		case *record.Route:
			routes = append(routes, &route.Route{Name: rec.Name, Version: rec.Version, Route: *spec})
		case *record.Configuration:
			routes = append(routes, out.addConfiguration(rec, spec)...)
		case *record.Team:
			out.teams[rec.Name] = spec
		case *record.Stop:
			out.plannedStops = append(out.plannedStops, spec)
		case *record.ShardMap:
			out.shardMaps[rec.Name] = &ShardMap{Version: rec.Version, ShardMap: spec}
		}
	}
	out.routes = route.NewTable(routes)
	out.teamKeys = r.teamKeys.WithTeams(out.teams)
	out.requireKeys = out.requireKeys || out.teamKeys.Len() > 0
	return out
}

// addConfiguration adds the services, teams and limits of a Configuration and returns its
// routes. All of them get the record's version.
func (r *Records) addConfiguration(rec *record.Record, c *record.Configuration) []*route.Route {
	r.configurations[rec.Name] = rec.Version
	for i := range c.Services {
		s := &c.Services[i]
		r.services = append(r.services, &Service{Name: s.Name, Version: rec.Version, Record: &s.Service})
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
		routes = append(routes, &route.Route{Name: named.Name, Version: rec.Version, Route: named.Route})
	}
	return routes
}
