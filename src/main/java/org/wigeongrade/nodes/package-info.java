/** Everything that processes of this system say to each other, over Thrift. */
package org.wigeongrade.nodes;
