package control

// hashFraction hashes a key and an endpoint to a number between 0 and 1. The result is the same at all
// routers. It uses the finalizer and the constants of SplitMix64.
func hashFraction(key uint64, id EndpointID) float64 {
	x := key ^ uint64(id)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
