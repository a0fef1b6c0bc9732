package org.hibiscusreel.bench.scenario;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.JUNIT_PLATFORM_NAMING_STRATEGY_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectDirectories;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios. Surefire counts them only with the naming strategy set here. */
@Suite
@IncludeEngines("cucumber")
@SelectDirectories("../scenarios")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.hibiscusreel.bench.scenario")
@ConfigurationParameter(key = JUNIT_PLATFORM_NAMING_STRATEGY_PROPERTY_NAME, value = "long")
class ScenariosTest {}
