/** Configurations that operators publish as one document with a version: routes, services, organisations and limits. */
package org.wigeongrade.decisions.published;
