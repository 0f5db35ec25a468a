// Command winchctl is part of arbutuswinch.
package main

func main() {}
