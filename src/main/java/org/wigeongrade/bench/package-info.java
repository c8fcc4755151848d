/** Load tool and seeded experiments that print their figures as JSON. */
package org.wigeongrade.bench;
