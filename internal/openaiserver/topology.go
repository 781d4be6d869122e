package openaiserver

// maxTopologyNames is the maximum number of zones, and of cells, with a number of their own. Numbers have 16 bits, and
// all further names share the highest one.
const maxTopologyNames = 1<<16 - 1

// topology assigns numbers to the names of zones and cells. The numbers stay the same until the server stops.
type topology struct {
	zones map[string]uint16
	cells map[string]uint16
}

func newTopology() topology {
	return topology{zones: map[string]uint16{}, cells: map[string]uint16{}}
}

func (t *topology) zone(name string) uint16 { return findOrAssignNumber(t.zones, name) }

// cell returns the number of a cell. Cells in different zones are different, even if they have the same name.
func (t *topology) cell(zone, name string) uint16 { return findOrAssignNumber(t.cells, zone+"/"+name) }

// findOrAssignNumber returns the number of a name. A new name gets the next number, or maxTopologyNames if all are
// taken. The only effect of a shared number is a worse choice of decode engines.
func findOrAssignNumber(numbers map[string]uint16, name string) uint16 {
	number, isKnown := numbers[name]
	if isKnown {
		return number
	}
	if len(numbers) >= maxTopologyNames {
		return maxTopologyNames
	}
	number = uint16(len(numbers))
	numbers[name] = number
	return number
}
