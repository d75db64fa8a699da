// Command fescuelatch is not written yet.
package main

func main() {}
